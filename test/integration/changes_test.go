package integration

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/test/local"
)

// token is a bearer token that the generated API client sends.
type token string

// Bearer implements oas.SecuritySource.
func (t token) Bearer(context.Context, oas.OperationName) (oas.Bearer, error) {
	return oas.Bearer{Token: string(t)}, nil
}

// keepAliveClient reuses connections, since tests send hundreds of API requests.
var keepAliveClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// api returns a client of one control host's administration API.
func (s *system) api(h *local.Host) *oas.Client {
	s.t.Helper()
	c, err := oas.NewClient("http://"+h.ListenAddress, token(local.OperatorToken), oas.WithClient(keepAliveClient))
	require.NoError(s.t, err)
	return c
}

// change is one change of a document that is submitted. An empty name means the document "local".
type change struct {
	name     string
	base     uint64
	id, text string
}

// putResult is the result of one attempt to submit a change. problem is set if the control host
// answered with an error, err on any failure.
type putResult struct {
	revision uint64
	repeated bool
	problem  *oas.ProblemStatusCodeWithHeaders
	err      error
}

// put sends a change to one control host, without retries.
func (s *system) put(h *local.Host, c change) putResult {
	ctx, cancel := context.WithTimeout(s.ctx, 15*time.Second)
	defer cancel()
	name := "local"
	if c.name != "" {
		name = c.name
	}
	a, err := s.api(h).PutDocument(ctx, &oas.PutDocumentReqTextPlain{Data: bytes.NewReader([]byte(c.text))},
		oas.PutDocumentParams{Name: name, IfMatch: strconv.Quote(strconv.FormatUint(c.base, 10)), ChangeID: c.id})
	r := putResult{err: err}
	if err == nil {
		r.revision, r.repeated = a.Response.Revision, a.Response.Repeated
	}
	errors.As(err, &r.problem)
	return r
}

func (r putResult) isAccepted() bool { return r.err == nil }

// isNotRun reports whether the attempt certainly had no effect: the response says so, or no
// connection was made.
func (r putResult) isNotRun() bool {
	if r.problem != nil {
		return r.problem.Response.Verdict == oas.ProblemVerdictNotRun
	}
	var operation *net.OpError
	return errors.As(r.err, &operation) && operation.Op == "dial"
}

func (r putResult) String() string {
	if r.problem != nil {
		return fmt.Sprintf("status %d, %+v", r.problem.StatusCode, r.problem.Response)
	}
	return fmt.Sprintf("revision %d, repeated %v, %v", r.revision, r.repeated, r.err)
}

// putUntilKnown sends a change to one control host after another until its outcome is certain. An
// attempt that may have taken effect is resent with the same change id. The verdict not-run is
// certain only if no earlier attempt may have taken effect.
func (s *system) putUntilKnown(c change, first int) putResult {
	mayHaveRun := false
	for i := first; ; i++ {
		r := s.put(s.Control[i%len(s.Control)], c)
		isConflict := r.problem != nil && r.problem.StatusCode == http.StatusConflict
		switch {
		case r.isAccepted(), isConflict, r.isNotRun() && !mayHaveRun, s.ctx.Err() != nil:
			return r
		case !r.isNotRun():
			mayHaveRun = true
		}
	}
}

// mustPut sends a change until it is accepted and returns its revision.
func (s *system) mustPut(c change) uint64 {
	s.t.Helper()
	var r putResult
	s.await("change "+c.id, func() bool {
		r = s.putUntilKnown(c, 0)
		return r.isAccepted() || !r.isNotRun() || r.problem != nil && r.problem.StatusCode < 500
	})
	require.True(s.t, r.isAccepted(), "change %s: %s", c.id, r)
	return r.revision
}

// history returns all changes of a document as one control host reports them, the oldest first.
func (s *system) history(h *local.Host, name string) []oas.Change {
	s.t.Helper()
	params := oas.GetHistoryParams{Document: oas.NewOptString(name)}
	var all []oas.Change
	for {
		page, err := s.api(h).GetHistory(s.ctx, params)
		require.NoError(s.t, err)
		all = append(all, page.Changes...)
		next, ok := page.Next.Get()
		if !ok {
			slices.Reverse(all)
			return all
		}
		params.Page = oas.NewOptString(next)
	}
}

// acceptedIDs returns the change ids of the accepted changes, in order.
func acceptedIDs(changes []oas.Change) []string {
	var ids []string
	for _, c := range changes {
		if c.Outcome == "accepted" {
			ids = append(ids, c.ChangeID.Or(""))
		}
	}
	return ids
}

// bootstrapWithDocument bootstraps the cluster, waits until a first document is in force on all
// entry hosts and returns its revision. It does not wait for upstreams.
func bootstrapWithDocument(t require.TestingT, s *system) uint64 {
	require.NoError(t, s.Bootstrap(s.ctx))
	r := s.mustPut(change{id: "change-first", text: local.Document("v1")})
	s.awaitInForce(r, s.Entries...)
	return r
}

// revisionInForce returns the document revision in force on a host, and false if the host did not
// answer.
func (s *system) revisionInForce(h *local.Host) (uint64, bool) {
	return local.RevisionInForce(s.ctx, h)
}

// awaitInForce waits until a revision or a later one is in force on all of the hosts.
func (s *system) awaitInForce(revision uint64, hosts ...*local.Host) {
	s.t.Helper()
	for _, h := range hosts {
		s.await(fmt.Sprintf("revision %d on %s", revision, h.Name), func() bool {
			r, ok := s.revisionInForce(h)
			return ok && r >= revision
		})
	}
}

// revisionObserver polls the revision in force on hosts until it is stopped.
type revisionObserver struct {
	stop chan struct{}
	wg   sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// rollbacks describes each time that a host's revision was lower than before.
	rollbacks []string
	// seen has all revisions that were in force on any host.
	seen map[uint64]bool
	// last has the latest revision of each host and when it was first observed.
	last map[string]observedRevision
}

type observedRevision struct {
	revision uint64
	at       time.Time
}

const observeInterval = 4 * time.Millisecond

func (s *system) observeRevisions(hosts ...*local.Host) *revisionObserver {
	o := &revisionObserver{stop: make(chan struct{}), seen: make(map[uint64]bool), last: make(map[string]observedRevision)}
	for _, h := range hosts {
		o.wg.Go(func() {
			ticker := time.NewTicker(observeInterval)
			defer ticker.Stop()
			for {
				select {
				case <-o.stop:
					return
				case <-ticker.C:
				}
				if r, ok := s.revisionInForce(h); ok {
					o.record(h.Name, r)
				}
			}
		})
	}
	s.t.Cleanup(o.stopAndWait)
	return o
}

func (o *revisionObserver) record(host string, revision uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.last[host]
	if revision < before.revision {
		o.rollbacks = append(o.rollbacks, fmt.Sprintf("%s went from revision %d back to %d", host, before.revision, revision))
	}
	if revision != before.revision {
		o.last[host] = observedRevision{revision: revision, at: time.Now()}
	}
	o.seen[revision] = true
}

// reachedAllAt returns when the last of n hosts reached a revision, or false if one has not yet.
func (o *revisionObserver) reachedAllAt(revision uint64, n int) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var latest time.Time
	for _, s := range o.last {
		if s.revision < revision {
			return latest, false
		}
		if s.at.After(latest) {
			latest = s.at
		}
	}
	return latest, len(o.last) == n
}

// stopAndWait stops the observer and waits for its goroutines. It may be called twice.
func (o *revisionObserver) stopAndWait() {
	o.mu.Lock()
	select {
	case <-o.stop:
	default:
		close(o.stop)
	}
	o.mu.Unlock()
	o.wg.Wait()
}

// requireNoRollback stops the observer. It fails the test if a host went back to an older revision,
// or had a revision in force that was never accepted.
func (o *revisionObserver) requireNoRollback(t require.TestingT, accepted []uint64) {
	o.stopAndWait()
	require.Empty(t, o.rollbacks)
	for r := range o.seen {
		require.True(t, r == 0 || slices.Contains(accepted, r), "revision %d was in force and not accepted", r)
	}
}
