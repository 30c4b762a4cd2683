// Command demo starts a whole system with stand-in upstreams on loopback, submits a
// service document, sends requests through the system and shuts it down gracefully.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

const timeout = 2 * time.Minute

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	fmt.Println("building, and starting 3 control hosts, 2 entry hosts, 3 agents and their stand-ins")
	layout := local.Layout{Control: 3, Entries: 2, Engines: 2, Services: 1}
	return local.WithSystem(layout, func(s *local.System) error { return runDemo(ctx, s) })
}

func runDemo(ctx context.Context, s *local.System) error {
	if err := s.Prepare(ctx, local.Document("v1")); err != nil {
		return err
	}
	if err := sendRequests(ctx, s); err != nil {
		return err
	}
	return shutDown(ctx, s)
}

// sendRequests prints the state of the cluster, sends some requests and prints the responses. The
// second booking repeats the idempotency key of the first, so it gets the recorded response.
func sendRequests(ctx context.Context, s *local.System) error {
	for _, command := range []string{"cluster", "status local", "history"} {
		out, err := s.RunCLI(ctx, strings.Fields(command)...)
		fmt.Printf("$ sassafraspost %s\n%s\n", command, out)
		if err != nil {
			return err
		}
	}
	requests := []local.Request{
		local.CompletionRequest("draft a confirmation", 8, false),
		local.CompletionRequest("draft a confirmation", 8, true),
		local.BookingRequest("club-7-rider-1", "Elena"),
		local.BookingRequest("club-7-rider-1", "Elena"),
	}
	for i, q := range requests {
		a := local.Do(ctx, s.Entries[i%len(s.Entries)].ListenAddress, q)
		if a.Err != nil {
			return a.Err
		}
		fmt.Printf("%s %s via %s: %d, verdict %s, replayed %q\n%s\n", q.Method, q.Path,
			s.Entries[i%len(s.Entries)].Name, a.Status, a.Verdict, a.Header.Get("Idempotency-Replayed"), a.Body)
	}
	return checkCompletion(ctx, s)
}

// checkCompletion sends a completion request and checks that the response is complete.
func checkCompletion(ctx context.Context, s *local.System) error {
	want := standin.Text("draft a confirmation", 8)
	a := local.Do(ctx, s.Entries[0].ListenAddress, local.CompletionRequest("draft a confirmation", 8, false))
	if a.Status != http.StatusOK || !strings.Contains(a.Body, want) {
		return errors.Errorf("answer %d %q is not whole", a.Status, a.Body)
	}
	fmt.Println("the answer is whole")
	return nil
}

// shutDown terminates the daemons one after the other, the control hosts last, and checks that each
// exits without an error.
func shutDown(ctx context.Context, s *local.System) error {
	fmt.Println("shutting down")
	all := append(append(append([]*local.Host{}, s.Entries...), s.Agents...), s.Control...)
	for _, h := range all {
		h.Terminate()
		select {
		case <-h.Done():
		case <-ctx.Done():
			return errors.Errorf("%s did not shut down", h.Name)
		}
		if err := h.Err(); err != nil {
			return errors.Wrapf(err, "%s\n%s", h.Name, h.Log())
		}
	}
	fmt.Println("all processes ended with exit status 0")
	return nil
}
