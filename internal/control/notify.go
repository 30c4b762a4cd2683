package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// notifyDeparture tells the attached hosts of an upstream that drains or is gone, and waits for the
// entry hosts, no longer than limit. Upstreams that depart at the same time share the messages, unless
// the records contain a call of which the hosts have to judge for themselves whether it applies.
func (f *fleet) notifyDeparture(ctx context.Context, limit time.Duration, records []registry.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if len(records) > 1 {
		return f.notifyHosts(ctx, records)
	}
	round := f.notifications.join(records[0])
	<-round.started
	select {
	case <-round.done:
	case <-ctx.Done():
		return nil
	}
	if round.err != nil {
		// A host has refused one of the records. Whether it is this one is asked again.
		return f.notifyHosts(ctx, records)
	}
	return nil
}

// notifyRound tells the attached hosts of upstreams that drain or are gone.
func (f *fleet) notifyRound(records []registry.Upstream) error {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	return f.notifyHosts(ctx, records)
}

// notifyHosts sends records to the attached hosts and waits until ctx ends for the entry hosts that were
// heard lately. The error is that of a host that has not applied a record.
//
// A host that is not waited for is told all the same: the records are in its queue when notifyHosts
// returns, or its session is closed, and the next one begins with the list of all upstreams.
func (f *fleet) notifyHosts(ctx context.Context, records []registry.Upstream) error {
	m := &wire.Upstreams{All: records}
	var awaited, silent []*peer.Session
	f.mu.Lock()
	for s, role := range f.attached {
		switch {
		case role == roleCallers || !s.Alive():
		case role != roleEntry:
			s.PostOrClose(m)
		case s.SilentFor() < quietTimeout:
			awaited = append(awaited, s)
		default:
			s.PostOrClose(m)
			silent = append(silent, s)
		}
	}
	f.mu.Unlock()
	missing, err := callAll(ctx, awaited, m, func(wire.Message) {})
	for _, s := range missing {
		// The call may have been withdrawn. Hosts apply records that they have without effect.
		s.PostOrClose(m)
	}
	f.logUnconfirmed("silent", silent, records)
	f.logUnconfirmed("no reply", missing, records)
	return err
}

// logUnconfirmed logs the entry hosts that have not confirmed departures, which are acknowledged all the
// same.
func (f *fleet) logUnconfirmed(reason string, sessions []*peer.Session, records []registry.Upstream) {
	ids := idsOf(records)
	for _, s := range sessions {
		metrics.GetOrRegisterCounter("control.departures.unconfirmed", f.h.cfg.Metrics).Inc(int64(len(ids)))
		f.h.cfg.Log.Warn("departures not confirmed by entry host", "entry_host", s.Remote().Host, "reason", reason,
			"quiet_ms", s.SilentFor().Milliseconds(), "upstreams", ids)
	}
}

// idsOf returns the IDs of records. Several records of one upstream follow each other.
func idsOf(records []registry.Upstream) []string {
	out := make([]string, 0, len(records))
	for _, u := range records {
		out = append(out, u.ID)
	}
	return slices.Compact(out)
}

// callAll sends m to all sessions and waits for the replies, which it passes to onReply, from several
// goroutines. It returns the sessions without a reply before ctx ended. The error is that of a host that
// has not applied the message.
func callAll(ctx context.Context, sessions []*peer.Session, m wire.Message, onReply func(wire.Message)) (missing []*peer.Session, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range sessions {
		wg.Go(func() {
			reply, _, callErr := s.Call(ctx, m)
			if callErr == nil {
				onReply(reply)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if _, isRefusal := reply.(*wire.Failure); isRefusal {
				err = callErr
				return
			}
			missing = append(missing, s)
		})
	}
	wg.Wait()
	return missing, err
}
