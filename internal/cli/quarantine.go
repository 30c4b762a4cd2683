package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
)

func newQuarantine(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "Show and release requests under which upstreams ended",
	}
	var metrics string
	cmd.PersistentFlags().StringVar(&metrics, "metrics", "", "ask this metrics listener, ip:port, in place of the administration API")
	cmd.AddCommand(newQuarantineList(o, &metrics), newQuarantineRelease(o, &metrics))
	return cmd
}

func newQuarantineList(o *options, metrics *string) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the requests that are held, and those that are suspected",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if *metrics != "" {
				return callMetricsListener(cmd, o, http.MethodGet, *metrics+quarantine.Path, &oas.Quarantine{}, printQuarantine)
			}
			send := func(ctx context.Context, s *oas.Client) (*oas.Quarantine, error) { return s.ListQuarantine(ctx) }
			return callAndPrint(cmd, o, retryRead, send, printQuarantine)
		},
	}
}

func newQuarantineRelease(o *options, metrics *string) *cobra.Command {
	return &cobra.Command{
		Use:   "release FINGERPRINT",
		Short: "Let a request go, and forget what ended under it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := quarantine.ParseFingerprint(args[0]); err != nil {
				return err
			}
			if *metrics != "" {
				return callMetricsListener(cmd, o, http.MethodDelete, *metrics+quarantine.Path+"/"+args[0], &oas.Released{}, printReleased)
			}
			send := func(ctx context.Context, s *oas.Client) (*oas.Released, error) {
				return s.ReleaseRequest(ctx, oas.ReleaseRequestParams{Fingerprint: args[0]})
			}
			return callAndPrint(cmd, o, retryIdempotent, send, printReleased)
		},
	}
}

// decodableResponse is a response of a metrics listener in the JSON form of the administration
// API.
type decodableResponse interface {
	jsonResponse
	UnmarshalJSON([]byte) error
}

// callMetricsListener sends a request to a metrics listener and prints the response.
func callMetricsListener[T decodableResponse](cmd *cobra.Command, o *options, method, target string, response T, printText func(io.Writer, T)) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target, nil)
	if err != nil {
		return errors.Wrap(err, target)
	}
	resp, err := metricsClient.Do(req)
	if err != nil {
		return errors.Wrap(err, target)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMetricsBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("answered %s: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	if err == nil {
		err = response.UnmarshalJSON(body)
	}
	if err != nil {
		return errors.Wrap(err, target)
	}
	return o.out.result(response, func(w io.Writer) { printText(w, response) })
}

func printQuarantine(w io.Writer, q *oas.Quarantine) {
	var rows []string
	for _, r := range q.Requests {
		var crashes []string
		for _, crash := range r.Ends {
			crashes = append(crashes, fmt.Sprintf("%s %ds ago as %s", crash.Upstream, crash.AgeSeconds, crash.Request))
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s", r.Fingerprint, r.Verdict, r.Kind.Or(oas.SuspectRequestKindRequest), r.Workspace, r.ForSeconds, strings.Join(crashes, ", ")))
	}
	table(w, "FINGERPRINT\tVERDICT\tKIND\tWORKSPACE\tFOR S\tUPSTREAMS THAT ENDED", rows)
}

func printReleased(w io.Writer, r *oas.Released) {
	if r.IsReleased {
		fmt.Fprintf(w, "%s is released\n", r.Fingerprint)
		return
	}
	fmt.Fprintf(w, "nothing was held against %s\n", r.Fingerprint)
}
