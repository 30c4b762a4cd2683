package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
)

// backpressureList is a list of a metrics listener.
type backpressureList struct{ backpressure.List }

// MarshalJSON implements json.Marshaler.
func (l *backpressureList) MarshalJSON() ([]byte, error) { return json.Marshal(l.List) }

// UnmarshalJSON implements json.Unmarshaler.
func (l *backpressureList) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &l.List) }

func newBackpressure(o *options) *cobra.Command {
	var metrics string
	cmd := &cobra.Command{
		Use:   "backpressure",
		Short: "Show which upstreams limit their requests, rest or leave, as a host knows it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return callMetricsListener(cmd, o, http.MethodGet, metrics+backpressure.Path, &backpressureList{}, printBackpressure)
		},
	}
	cmd.Flags().StringVar(&metrics, "metrics", "", "the metrics listener of an entry host or control host, ip:port")
	_ = cmd.MarkFlagRequired("metrics")
	return cmd
}

func printBackpressure(w io.Writer, l *backpressureList) {
	var rows []string
	for _, u := range l.Upstreams {
		limit, age := "-", "-"
		if u.PerSecond > 0 {
			limit, age = fmt.Sprintf("%g", u.PerSecond), fmt.Sprintf("%.1f", float64(u.AgeMs)/1000)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%.1f\t%t", u.Upstream, limit, age, float64(u.RestMs)/1000, u.IsLeaving))
	}
	table(w, "UPSTREAM\tREQUESTS PER S\tSTATED S AGO\tRESTS FOR S\tLEAVES", rows)
}
