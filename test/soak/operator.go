package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/cli"
	"github.com/sassafraspost/sassafraspost/test/local"
)

const (
	// changeInterval is the pause between two changes of the configuration by the operator.
	changeInterval = 300 * time.Millisecond
	// revisionPollInterval is the pause between two reads of the revision of a host.
	revisionPollInterval = 20 * time.Millisecond
	// toolTimeout is the timeout of one call of the operators' tool.
	toolTimeout = 10 * time.Second
)

// operator changes the configuration with the operators' tool, one change after the other.
type operator struct {
	s *local.System
	r *record
	// size is the size of the system.
	size int
	// base is the newest revision that is known to be accepted.
	base         uint64
	changeNumber int
}

// run changes the configuration until ctx ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.submitChange(ctx)
		sleep(ctx, changeInterval)
	}
}

// document returns version n of the service document for a system of this size. Its streams are
// not resumable, so the system can't hide from the caller that a stream was interrupted.
func document(n, size int) string {
	ranks := fmt.Sprintf("ranks = %d\n", groupHostCount*ranksPerHost*size)
	return strings.NewReplacer("resumable = true", "resumable = false", "ranks = 8\n", ranks).
		Replace(local.Document(fmt.Sprintf("v%d", n)))
}

// submitChange submits the next document. It repeats the submission with the same change ID until
// the outcome is known.
func (o *operator) submitChange(ctx context.Context) {
	o.changeNumber++
	id := fmt.Sprintf("soak-change-%05d", o.changeNumber)
	text := document(o.changeNumber+1, o.size)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, toolTimeout)
		out, err := o.s.SubmitWithBase(call, o.base, text, "--change-id", id, "-o", "json")
		cancel()
		switch code := exitCode(err); {
		case err == nil:
			o.noteAccepted(out)
			return
		case code == cli.ExitConflict:
			// Nobody else submits documents, so the conflict is with an earlier submission of this
			// operator whose outcome it did not learn.
			o.base = max(o.base, o.s.Revision(ctx))
			o.r.count("changes in conflict")
			return
		case code == cli.ExitNotRun || code == cli.ExitUnknown:
			o.r.count("changes asked again")
		case ctx.Err() == nil && call.Err() == nil:
			o.r.addViolation(Configuration, "change %s: %v: %.200s", id, err, out)
			return
		}
		sleep(ctx, retryPause)
	}
}

// noteAccepted reads the output of a successful submission, and checks that the revision is newer
// than all before.
func (o *operator) noteAccepted(out string) {
	var a struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal([]byte(out), &a); err != nil || a.Revision <= o.base {
		o.r.addViolation(Configuration, "accepted as revision %d after %d: %.200s", a.Revision, o.base, out)
		return
	}
	o.base = a.Revision
	o.r.count("changes accepted")
}

func exitCode(err error) cli.ExitCode {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return cli.ExitOK
	}
	return cli.ExitCode(exit.ExitCode())
}

// watchRevisions polls the revision in force on each entry host, and records a violation if it
// decreases while the process runs. After a restart of the process it may be lower.
func watchRevisions(ctx context.Context, s *local.System, r *record, wg *sync.WaitGroup) {
	for _, h := range s.Entries {
		wg.Go(func() {
			newest, watchedRun := uint64(0), h.Done()
			for ctx.Err() == nil {
				currentRun := h.Done()
				revision, ok := local.RevisionInForce(ctx, h)
				if currentRun != watchedRun {
					newest, watchedRun = 0, currentRun
				}
				if ok && currentRun == h.Done() {
					if revision < newest {
						r.addViolation(Configuration, "%s went from revision %d back to %d", h.Name, newest, revision)
					}
					newest = max(newest, revision)
				}
				sleep(ctx, revisionPollInterval)
			}
		})
	}
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
