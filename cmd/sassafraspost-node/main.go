// Command sassafraspost-node runs one host of the system on the users' platform, which
// names its settings file in the environment. It has neither arguments nor the
// administration API of sassafraspostd, and so needs less memory.
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
	// The settings are read again at intervals, so the signal needs no more than not to
	// end the process.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush := telemetry.NewBoundedLogger(os.Stdout, slog.LevelInfo)
	defer flush()
	return node.Run(ctx, set, platform.New(path), log)
}
