package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/api/oas"
)

func newEvacuate(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "evacuate",
		Short: "Start and end the evacuation of data centres, and list them",
		Long:  "The upstreams of an evacuated data centre get no new requests. Those that run there finish.",
	}
	cmd.AddCommand(newEvacuateStart(o), newEvacuateEnd(o), newEvacuateList(o))
	return cmd
}

func newEvacuateStart(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "start DATA-CENTRE",
		Short: "Send no new requests to the upstreams of a data centre",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			send := func(ctx context.Context, s *oas.Client) (*oas.Evacuations, error) {
				return s.StartEvacuation(ctx, oas.StartEvacuationParams{DataCentre: args[0]})
			}
			return callAndPrint(cmd, o, retryIdempotent, send, printEvacuations)
		},
	}
}

func newEvacuateEnd(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "end DATA-CENTRE",
		Short: "Send requests to the upstreams of a data centre again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			send := func(ctx context.Context, s *oas.Client) (*oas.Evacuations, error) {
				return s.EndEvacuation(ctx, oas.EndEvacuationParams{DataCentre: args[0]})
			}
			return callAndPrint(cmd, o, retryIdempotent, send, printEvacuations)
		},
	}
}

func newEvacuateList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the evacuated data centres",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			send := func(ctx context.Context, s *oas.Client) (*oas.Evacuations, error) { return s.ListEvacuations(ctx) }
			return callAndPrint(cmd, o, retryRead, send, printEvacuations)
		},
	}
}

func printEvacuations(w io.Writer, e *oas.Evacuations) { printEvacuated(w, e.DataCentres) }

func printEvacuated(w io.Writer, dataCentres []string) {
	if len(dataCentres) == 0 {
		fmt.Fprintln(w, "no data centre is evacuated")
	}
	for _, name := range dataCentres {
		fmt.Fprintf(w, "data centre %s is evacuated\n", name)
	}
}
