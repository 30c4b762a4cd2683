// Command sassafraspostd is the daemon of a host. Its settings choose which of the roles entry,
// control and agent it runs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/internal/daemon"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/version"
)

// Exit codes: exitSettings reports unusable settings or arguments, exitFailed any other failure.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	var path string
	root := &cobra.Command{
		Use:           "sassafraspostd",
		Short:         "Run the roles of one host",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		Run:           func(*cobra.Command, []string) { run(path) },
	}
	root.PersistentFlags().StringVar(&path, "settings", "/etc/sassafraspost/sassafraspostd.ini", "settings file")
	root.AddCommand(
		&cobra.Command{
			Use:   "check-settings",
			Short: "Check the settings file and list all errors",
			Args:  cobra.NoArgs,
			Run:   func(*cobra.Command, []string) { load(path) },
		},
		&cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Args:  cobra.NoArgs,
			Run:   func(*cobra.Command, []string) { fmt.Println(version.Release) },
		},
	)
	if err := root.Execute(); err != nil {
		fail(exitSettings, err)
	}
}

func load(path string) *settings.Settings {
	set, err := settings.Load(path)
	if err != nil {
		fail(exitSettings, err)
	}
	return set
}

func run(path string) {
	set := load(path)
	log := telemetry.NewLogger(os.Stderr, set.Log.Format == settings.LogJSON, set.Log.Level)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(set, log)
	if err != nil {
		fail(exitFailed, err)
	}
	if err := d.Run(ctx); err != nil {
		fail(exitFailed, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(code)
}
