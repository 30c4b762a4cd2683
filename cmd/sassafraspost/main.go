// Command sassafraspost is the command-line tool for operators and teams. It submits service
// documents, reads them back and shows their status and history.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafraspost/sassafraspost/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)))
}
