// Command sassafraspost-node runs one host of the system on the users' platform. The path of its
// settings file is in an environment variable. It needs less memory than sassafraspostd, because it
// has no command line and no administration API.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafraspost/sassafraspost/internal/node"
	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/platform"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sassafraspost-node:", err)
		os.Exit(1)
	}
}

func run() error {
	path := os.Getenv(platform.SettingsVariable)
	set, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	// SIGHUP must not end the process. It need not trigger a reload either, because the settings
	// are reloaded at regular intervals.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush := telemetry.NewNonBlockingLogger(os.Stdout, slog.LevelInfo)
	defer flush()
	return node.Run(ctx, set, platform.New(path), log)
}
