// Package cli implements the operators' command-line tool: its commands, the calls to the
// control hosts, the output and the exit codes.
package cli

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// DefaultTimeout limits each attempt at one control host.
const DefaultTimeout = 15 * time.Second

// options are the flags that all commands share.
type options struct {
	output    string
	servers   []string
	tokenFile string
	caFile    string
	timeout   time.Duration
	out       *printer
}

// Run executes a command line and returns its exit code. Results go to stdout, everything else
// to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) ExitCode {
	o := &options{out: &printer{stdout: stdout, stderr: stderr}}
	root := newRoot(o)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		o.out.failure(err)
	}
	return exitCode(err)
}

func newRoot(o *options) *cobra.Command {
	root := &cobra.Command{
		Use:           "sassafraspost",
		Short:         "Submit service documents and read them back",
		Long:          "Submit service documents and read them back.\n\n" + exitHelp(),
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return o.validate()
		},
	}
	flags := root.PersistentFlags()
	flags.StringVarP(&o.output, "output", "o", formatText, "form of the output: text or json")
	flags.StringSliceVar(&o.servers, "server", nil, "control hosts, ip:port or URL, separated by commas; the next is tried where one fails")
	flags.StringVar(&o.tokenFile, "token-file", "", "file with the operator's bearer token")
	flags.StringVar(&o.caFile, "ca-file", "", "certificates that servers' certificates must chain to (default: the system's)")
	flags.DurationVar(&o.timeout, "timeout", DefaultTimeout, "how long to wait for each server")
	root.AddCommand(
		newSubmit(o), newGet(o), newList(o), newStatus(o), newHistory(o),
		newCheck(o), newInit(o), newCluster(o), newVersion(o),
		newStats(o), newTrace(o), newQuarantine(o), newBackpressure(o), newEvacuate(o),
	)
	return root
}

func (o *options) validate() error {
	if o.output != formatText && o.output != formatJSON {
		return errors.Errorf("--output %q is neither text nor json", o.output)
	}
	if o.timeout <= 0 {
		return errors.New("--timeout is not above zero")
	}
	o.out.format = o.output
	return nil
}
