package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/sassafraspost/sassafraspost/internal/logtrace"
)

// maxMetricsBytes limits the response of one metrics listener.
const maxMetricsBytes = 4 << 20

func newTrace(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID [FILE...]",
		Short: "Follow a request through logs, given as files or on standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			t := logtrace.Find(all, args[0])
			if len(t.Lines) == 0 {
				return errors.Errorf("no line of request %q in %d lines", args[0], len(all))
			}
			return t.Write(o.out.stdout)
		},
	}
}

func readLogs(stdin io.Reader, files []string) ([]logtrace.Line, error) {
	if len(files) == 0 {
		return logtrace.Read(stdin)
	}
	var all []logtrace.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]logtrace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return logtrace.Read(f)
}

func newStats(o *options) *cobra.Command {
	var match string
	var isSummary bool
	cmd := &cobra.Command{
		Use:   "stats ADDRESS...",
		Short: "Print the metrics of hosts as a table, a column each",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			table := o.fetchStats(cmd.Context(), args, match)
			if len(table.hosts) == 0 {
				return &exitError{ExitNotRun, table.missingHosts()}
			}
			if err := table.print(o.out, isSummary); err != nil {
				return err
			}
			if len(table.failures) > 0 {
				return &exitError{ExitPartial, table.missingHosts()}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&isSummary, "summary", false, "a row a metric: sum, median, and the hosts with the most")
	cmd.Flags().StringVar(&match, "match", "", "only metrics whose names contain this")
	return cmd
}

// statsTable is a table of metrics by host.
type statsTable struct {
	// hosts are the hosts that responded. failures are the errors of the others.
	hosts    []string
	failures []error
	// values maps metric names and hosts to values.
	values map[string]map[string]string
}

// maxConcurrentFetches is how many hosts are queried at the same time.
const maxConcurrentFetches = 32

// fetchStats reads the metrics at each address, which is the "ip:port" of a metrics listener.
func (o *options) fetchStats(ctx context.Context, addresses []string, match string) *statsTable {
	bodies := make([]string, len(addresses))
	failures := make([]error, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentFetches)
	for i, address := range addresses {
		group.Go(func() error {
			bodies[i], failures[i] = o.fetchMetrics(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
	s := &statsTable{values: make(map[string]map[string]string)}
	for i, address := range addresses {
		if failures[i] != nil {
			s.failures = append(s.failures, failures[i])
			continue
		}
		s.hosts = append(s.hosts, address)
		s.addHost(address, bodies[i], match)
	}
	return s
}

// missingHosts returns an error that names the hosts that did not respond, and why.
func (s *statsTable) missingHosts() error {
	var b strings.Builder
	fmt.Fprintf(&b, "%d of %d hosts did not answer", len(s.failures), len(s.failures)+len(s.hosts))
	for _, err := range s.failures {
		fmt.Fprintf(&b, "\n  %s", err)
	}
	return errors.New(b.String())
}

// addHost adds the metrics of one host whose names contain match.
func (s *statsTable) addHost(address, body, match string) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") || !strings.Contains(name, match) {
			continue
		}
		if s.values[name] == nil {
			s.values[name] = make(map[string]string)
		}
		s.values[name][address] = value
	}
}

func (o *options) fetchMetrics(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return "", errors.Wrap(err, address)
	}
	resp, err := metricsClient.Do(req)
	if err != nil {
		return "", errors.Wrap(err, address)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMetricsBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("answered %s", resp.Status)
	}
	return string(body), errors.Wrap(err, address)
}

// print writes the table or its summary.
func (s *statsTable) print(p *printer, isSummary bool) error {
	switch {
	case isSummary:
		return s.writeSummary(p)
	case p.format == formatJSON:
		return s.writeJSON(p.stdout)
	}
	return s.write(p.stdout)
}

// writeJSON writes an object of metrics, each an object of values by host.
func (s *statsTable) writeJSON(w io.Writer) error {
	out := make(map[string]map[string]string, len(s.values))
	for name, byHost := range s.values {
		out[trimMetricPrefix(name)] = byHost
	}
	return errors.Wrap(json.NewEncoder(w).Encode(out), "output")
}

// trimMetricPrefix returns the name of a metric without the product's prefix.
func trimMetricPrefix(metric string) string { return strings.TrimPrefix(metric, "sassafraspost_") }

// write prints the table, with one row per metric and one column per host.
func (s *statsTable) write(w io.Writer) error {
	names := slices.Sorted(maps.Keys(s.values))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "metric\t%s\n", strings.Join(s.hosts, "\t"))
	for _, name := range names {
		row := []string{trimMetricPrefix(name)}
		for _, host := range s.hosts {
			row = append(row, s.values[name][host])
		}
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}
