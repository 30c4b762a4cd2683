package local

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Prepare bootstraps the cluster, submits a document and waits until every entry host and
// every engine serves.
func (s *System) Prepare(ctx context.Context, document string) error {
	if err := s.Bootstrap(ctx); err != nil {
		return err
	}
	if out, err := s.Submit(ctx, document); err != nil {
		return errors.Wrapf(err, "submit: %s", out)
	}
	return s.AwaitServing(ctx)
}

// Bootstrap initializes the cluster and waits until every control host is a voter.
func (s *System) Bootstrap(ctx context.Context) error {
	var out string
	err := Await(ctx, func() bool {
		var err error
		out, err = s.RunCLI(ctx, "init")
		return err == nil || s.endedControlHost() != ""
	})
	if name := s.endedControlHost(); name != "" {
		return errors.Errorf("%s has ended", name)
	}
	if err != nil {
		return errors.Wrapf(err, "init: %s", out)
	}
	err = Await(ctx, func() bool { return s.VoterCount(ctx) == len(s.Control) })
	return errors.Wrap(err, "votes")
}

// endedControlHost returns the name of a control host whose process has ended, empty if all run.
func (s *System) endedControlHost() string {
	for _, h := range s.Control {
		if !h.IsRunning() {
			return h.Name
		}
	}
	return ""
}

// Submit submits a document that replaces the accepted revision.
func (s *System) Submit(ctx context.Context, document string) (string, error) {
	st, _ := s.documentStatus(ctx)
	return s.SubmitWithBase(ctx, st.Revision, document)
}

// SubmitWithBase submits a document that replaces the revision base. It is refused if another
// revision has been accepted since.
func (s *System) SubmitWithBase(ctx context.Context, base uint64, document string, args ...string) (string, error) {
	f, err := os.CreateTemp(s.Dir, "document-*.ini")
	if err != nil {
		return "", err
	}
	defer f.Close()
	if _, err := f.WriteString(document); err != nil {
		return "", err
	}
	all := []string{"submit", f.Name(), "--base", strconv.FormatUint(base, 10)}
	return s.RunCLI(ctx, append(all, args...)...)
}

// documentStatus is the part of the tool's JSON output for `status` that is read here. InForce
// is the number of hosts on which the accepted revision is in force.
type documentStatus struct {
	Revision uint64 `json:"revision"`
	InForce  int    `json:"inForce"`
}

func (s *System) documentStatus(ctx context.Context) (documentStatus, error) {
	out, err := s.RunCLI(ctx, "status", "local", "-o", "json")
	if err != nil {
		return documentStatus{}, err
	}
	var st documentStatus
	return st, json.Unmarshal([]byte(out), &st)
}

// Revision returns the accepted revision of the document, zero if the cluster doesn't answer.
func (s *System) Revision(ctx context.Context) uint64 {
	st, _ := s.documentStatus(ctx)
	return st.Revision
}

// AwaitInForce waits until the accepted revision is in force on every entry host.
func (s *System) AwaitInForce(ctx context.Context) error {
	return Await(ctx, func() bool {
		st, err := s.documentStatus(ctx)
		return err == nil && st.InForce == len(s.Entries)
	})
}

// AwaitServing waits until every entry host has answered a completion and every engine has
// executed one.
func (s *System) AwaitServing(ctx context.Context) error {
	for _, h := range s.Entries {
		if err := s.awaitEntry(ctx, h); err != nil {
			return err
		}
	}
	for _, a := range s.Agents {
		if strings.HasPrefix(a.Name, "service-") {
			continue
		}
		entry := s.entriesIn(a.DataCentre)[0]
		err := Await(ctx, func() bool {
			Do(ctx, entry.ListenAddress, CompletionRequest("are you there", 1, false))
			r, err := Executions(ctx, a.Upstream)
			return err == nil && len(r.ByRequest) > 0
		})
		if err != nil {
			return errors.Wrapf(err, "%s does not serve", a.Name)
		}
	}
	return nil
}

// awaitEntry waits until an entry host is ready and answers a completion.
func (s *System) awaitEntry(ctx context.Context, h *Host) error {
	var last Response
	err := Await(ctx, func() bool {
		if !IsReady(ctx, h) {
			return false
		}
		last = Do(ctx, h.ListenAddress, CompletionRequest("are you there", 1, false))
		return last.Status == http.StatusOK
	})
	return errors.Wrapf(err, "%s does not serve: %d %s %v", h.Name, last.Status, last.Body, last.Err)
}
