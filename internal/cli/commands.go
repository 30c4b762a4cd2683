package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/version"
)

// callAndPrint sends a request to the control hosts and prints the response.
func callAndPrint[T jsonResponse](cmd *cobra.Command, o *options, policy retryPolicy, send func(context.Context, *oas.Client) (T, error), printText func(io.Writer, T)) error {
	c, err := newClient(o)
	if err != nil {
		return err
	}
	response, err := callServers(cmd.Context(), c, policy, send)
	if err != nil {
		return err
	}
	return o.out.result(response, func(w io.Writer) { printText(w, response) })
}

func newGet(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "get NAME",
		Short: "Print a document as it was submitted; its revision goes to stderr",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			send := func(ctx context.Context, s *oas.Client) (*oas.Document, error) {
				response, err := s.GetDocument(ctx, oas.GetDocumentParams{Name: args[0]})
				if err != nil {
					return nil, err
				}
				return &response.Response, nil
			}
			return callAndPrint(cmd, o, retryRead, send, func(w io.Writer, d *oas.Document) {
				fmt.Fprint(w, d.Text)
				o.out.note("revision %d of %s, change %s", d.Revision, d.Author, d.ChangeID)
			})
		},
	}
}

func newList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the documents that the operator may read",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			send := func(ctx context.Context, s *oas.Client) (*oas.DocumentList, error) { return s.ListDocuments(ctx) }
			return callAndPrint(cmd, o, retryRead, send, func(w io.Writer, l *oas.DocumentList) {
				var rows []string
				for _, d := range l.Documents {
					rows = append(rows, fmt.Sprintf("%s\t%d\t%s", d.Name, d.Revision, d.Author))
				}
				table(w, "NAME\tREVISION\tAUTHOR", rows)
			})
		},
	}
}

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status NAME",
		Short: "Show on which hosts a document is in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			send := func(ctx context.Context, s *oas.Client) (*oas.Status, error) {
				return s.GetStatus(ctx, oas.GetStatusParams{Name: args[0]})
			}
			return callAndPrint(cmd, o, retryRead, send, printStatus)
		},
	}
}

func printStatus(w io.Writer, s *oas.Status) {
	fmt.Fprintf(w, "%s: revision %d is in force on %d hosts\n", s.Name, s.Revision, s.InForce)
	for _, c := range s.DataCentres {
		fmt.Fprintf(w, "data centre %s: in force on %d, behind %d, not heard %d\n", c.Name, c.InForce, c.Behind, c.NotHeard)
	}
	for _, h := range s.Behind {
		fmt.Fprintf(w, "behind: %s at revision %d\n", h.Host, h.Revision)
	}
	for _, host := range s.NotHeard {
		fmt.Fprintf(w, "not heard: %s\n", host)
	}
}

func newHistory(o *options) *cobra.Command {
	var page, name string
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show the audit trail of changes, the latest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			params := oas.GetHistoryParams{}
			if page != "" {
				params.Page = oas.NewOptString(page)
			}
			if name != "" {
				params.Document = oas.NewOptString(name)
			}
			send := func(ctx context.Context, s *oas.Client) (*oas.History, error) { return s.GetHistory(ctx, params) }
			return callAndPrint(cmd, o, retryRead, send, func(w io.Writer, h *oas.History) {
				printHistory(w, h)
				if next, ok := h.Next.Get(); ok {
					o.out.note("more with --page %s", next)
				}
			})
		},
	}
	cmd.Flags().StringVar(&page, "page", "", "page to show, as the page before names it")
	cmd.Flags().StringVar(&name, "document", "", "only changes of this document")
	return cmd
}

func printHistory(w io.Writer, h *oas.History) {
	var rows []string
	for _, c := range h.Changes {
		document := "-"
		if name, ok := c.Document.Get(); ok {
			document = fmt.Sprintf("%s@%d", name, c.Revision.Or(0))
		}
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s", c.Index, changeTime(c),
			c.Action, cmp.Or(c.Author, "-"), c.Outcome, document, c.ChangeID.Or("-"), c.Detail.Or("-")))
	}
	table(w, "INDEX\tTIME\tACTION\tAUTHOR\tOUTCOME\tDOCUMENT\tCHANGE\tDETAIL", rows)
}

// changeTime returns a dash for changes that the control hosts make themselves, because they
// have no time.
func changeTime(c oas.Change) string {
	if c.Time.Unix() == 0 {
		return "-"
	}
	return c.Time.UTC().Format(time.RFC3339)
}

func newInit(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "init",
		Short: "Start a new cluster, once; refused where any host knows a cluster",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			send := func(ctx context.Context, s *oas.Client) (*oas.Cluster, error) { return s.InitCluster(ctx) }
			return callAndPrint(cmd, o, retryIfNotRun, send, printCluster)
		},
	}
}

func newCluster(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "cluster",
		Short: "Show the replicas of the cluster",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			send := func(ctx context.Context, s *oas.Client) (*oas.Cluster, error) { return s.GetCluster(ctx) }
			return callAndPrint(cmd, o, retryRead, send, printCluster)
		},
	}
}

func printCluster(w io.Writer, c *oas.Cluster) {
	if c.ID == "" {
		fmt.Fprintln(w, "no cluster")
		return
	}
	fmt.Fprintf(w, "cluster %s %s, term %d, commit %d\n", c.ID, quorumText(c), c.Term, c.Commit)
	if left, isSet := c.LossesLeft.Get(); isSet {
		fmt.Fprintf(w, "voters that can still be lost: %d, as %s knows\n", left, c.AnsweredBy.Or(""))
	}
	var rows []string
	for _, r := range c.Replicas {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", r.ID, r.Host, replicaRole(c, r), contactText(r)))
	}
	table(w, "REPLICA\tHOST\tROLE\tHEARD", rows)
	if len(c.Evacuated) > 0 {
		printEvacuated(w, c.Evacuated)
	}
}

func quorumText(c *oas.Cluster) string {
	text := "with quorum"
	if !c.HasQuorum {
		text = "WITHOUT QUORUM"
	}
	if ms, isSet := c.LeaderlessMs.Get(); isSet {
		text += ", no leader for " + seconds(ms)
	}
	return text
}

// contactText returns whether the control host that answers hears a replica.
func contactText(r oas.Replica) string {
	switch r.Presence.Or("") {
	case oas.ReplicaPresenceSelf:
		return "answers"
	case oas.ReplicaPresenceHeard:
		return "yes"
	case oas.ReplicaPresenceSilent:
		return silenceText(r)
	}
	return "-"
}

// silenceText returns what is known of a replica that is not heard.
func silenceText(r oas.Replica) string {
	text := "NO, no session"
	if r.HasSession.Or(false) {
		text = "NO, with a session"
	}
	if ms, isSet := r.HeardMs.Get(); isSet {
		text += ", last message " + seconds(ms) + " ago"
	}
	if ms, isSet := r.ConsensusMs.Get(); isSet {
		text += ", last one of the consensus " + seconds(ms) + " ago"
	}
	return text
}

// seconds formats milliseconds as seconds with one decimal.
func seconds(ms int64) string { return fmt.Sprintf("%.1f s", float64(ms)/1000) }

func replicaRole(c *oas.Cluster, r oas.Replica) string {
	switch {
	case r.ID == c.Leader.Or(""):
		return "leader"
	case r.Voter:
		return "voter"
	}
	return "learner"
}

func newVersion(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this tool",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if o.output == formatJSON {
				_, err := fmt.Fprintf(o.out.stdout, "{\"version\":%q}\n", version.Release)
				return errors.Wrap(err, "output")
			}
			_, err := fmt.Fprintln(o.out.stdout, version.Release)
			return errors.Wrap(err, "output")
		},
	}
}
