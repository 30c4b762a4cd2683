package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// saveTimeout bounds the wait until enough control hosts have saved a departure.
	saveTimeout = 600 * time.Millisecond
	// resolveTimeout bounds the wait for the hosts that are asked which incarnation leaves.
	resolveTimeout = 250 * time.Millisecond
	// departureTimeout bounds the time to acknowledge a departure. Upstreams wait one second. The hosts
	// that are notified get what is left of it, notifyTimeout at most.
	departureTimeout = 950 * time.Millisecond
)

// saveDepartures writes all known departures to the disk.
func (f *fleet) saveDepartures() error {
	if f.h.cfg.LocalStore == nil {
		return nil
	}
	f.mu.Lock()
	all := f.registry.Departures(f.now())
	f.mu.Unlock()
	return f.savedAll("departures", f.h.cfg.LocalStore.SaveDepartures(all, time.Now()))
}

// isDurable reports whether a departure survives the loss of as many disks as the cluster survives:
// a majority of the voters has it on disk. A host that knows no voters yet, since it has just come to
// the cluster or there is none, can't tell.
func isDurable(voters []consensus.ReplicaID, saved map[consensus.ReplicaID]bool) bool {
	count := 0
	for _, v := range voters {
		if saved[v] {
			count++
		}
	}
	return count > len(voters)/2
}

// announceDeparture handles the announcement of an upstream that drains or is gone. Hosts are told only
// of a departure that is durable, so an upstream without an acknowledgement goes on being served.
func (f *fleet) announceDeparture(ctx context.Context, u registry.Upstream) error {
	if f.now() < attachPeriod {
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "this control host has just started")
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	err := f.acknowledgeDeparture(ctx, u)
	if err != nil {
		f.h.cfg.Log.Warn("departure not acknowledged", "upstream", u.ID, "state", u.State, "error", err.Error())
	}
	return err
}

// acknowledgeDeparture returns once the announcement of an upstream that drains or is gone may be
// acknowledged.
func (f *fleet) acknowledgeDeparture(ctx context.Context, call registry.Upstream) error {
	u, began := call, time.Now()
	var err error
	if u.StartedAt, err = f.resolve(ctx, call); err != nil {
		return err
	}
	// Hosts that don't answer are waited for no longer than without the question.
	notifyLimit := notifyTimeout - time.Since(began)
	f.mu.Lock()
	records, _, err := f.announce(u)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	if call.StartedAt != u.StartedAt {
		// A host that could not be asked may know a later incarnation.
		records = append(records, call)
	}
	if err := f.makeDurable(ctx, u.ID); err != nil {
		return err
	}
	return f.notifyDeparture(ctx, notifyLimit, records)
}

// resolve returns the start time of the incarnation that an announcement concerns. For a call of an
// upstream that leaves without its start time it asks all other hosts, because this host may know an
// earlier incarnation or none. The result is 0 if nobody knows. The error says that the call may come
// from an earlier incarnation than the present one.
func (f *fleet) resolve(ctx context.Context, u registry.Upstream) (int64, error) {
	if !u.IsLeaveWithoutStart() {
		return u.StartedAt, nil
	}
	f.mu.Lock()
	statesNoStart := f.registry.StatesNoStart(u.ID)
	latest, err := f.registry.Resolve(u.ID, f.now())
	f.mu.Unlock()
	if err != nil || statesNoStart {
		return latest, conflict(err)
	}
	var mu sync.Mutex
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	_, err = callAll(ctx, f.sessionsInTouch(), &wire.Upstreams{Leaving: u.ID}, func(reply wire.Message) {
		mu.Lock()
		defer mu.Unlock()
		if m, ok := reply.(*wire.Upstreams); ok && len(m.Departures) == 1 {
			latest = max(latest, m.Departures[0].StartedAt)
		}
	})
	mu.Lock()
	defer mu.Unlock()
	return latest, err
}

// conflict returns the *verdict.Error for registry.ErrAmbiguous, and nil for nil.
func conflict(err error) error {
	if err == nil {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeConflict, err.Error())
}

// ResolvedReply returns the reply to a question with wire.Upstreams.Leaving: which incarnation of an
// upstream leaves, 0 if it is not known, or registry.ErrAmbiguous.
func ResolvedReply(id string, startedAt int64, err error) wire.Message {
	switch {
	case err != nil:
		return peer.NewFailure(conflict(err))
	case startedAt == 0:
		return &wire.Ack{}
	}
	return &wire.Upstreams{Departures: []registry.Departure{{ID: id, StartedAt: startedAt, State: registry.Gone}}}
}

// sessionsInTouch returns the sessions with the control hosts and the attached entry hosts that are not
// silent.
func (f *fleet) sessionsInTouch() []*peer.Session {
	all := append(f.h.cfg.Transport.Sessions(), f.entrySessions()...)
	return slices.DeleteFunc(all, func(s *peer.Session) bool { return s.SilentFor() >= quietTimeout })
}

// makeDurable returns once a majority of the voters has saved the departure of an upstream. It returns
// at once if they have, or if this host knows of no departure. The error is a *verdict.Error.
func (f *fleet) makeDurable(ctx context.Context, id string) error {
	f.mu.Lock()
	d, isDurable, exists := f.registry.Departure(id, f.now())
	f.mu.Unlock()
	if !exists || isDurable {
		return nil
	}
	round := f.saves.join(d)
	select {
	case <-round.done:
	case <-ctx.Done():
		return verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "not saved in time")
	}
	if round.err != nil {
		return round.err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.MarkDurable(d)
	return nil
}

// saveResult is the result of one control host that was asked to save departures.
type saveResult struct {
	replica consensus.ReplicaID
	err     error
}

// saveOnMajority saves departures, which are in the registry already, on this host and on the others.
// It returns as soon as a majority of the voters has saved them, within saveTimeout.
func (f *fleet) saveOnMajority(all []registry.Departure) error {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	began, voters := time.Now(), f.voters()
	results, asked := f.askToSave(ctx, voters, all)
	saved := make(map[consensus.ReplicaID]bool)
	for range asked {
		r := <-results
		if r.err != nil {
			continue
		}
		saved[r.replica] = true
		if isDurable(voters, saved) {
			f.logSaved(all, len(saved), time.Since(began))
			return nil
		}
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, fmt.Sprintf("saved on %d control hosts of %d voters", len(saved), len(voters)))
}

// logSaved logs departures that a number of hosts has saved in a time.
func (f *fleet) logSaved(all []registry.Departure, hosts int, took time.Duration) {
	for _, d := range all {
		f.h.cfg.Log.Info("departure saved", "upstream", d.ID, "state", d.State, "start_unknown", d.IsStartUnknown,
			"hosts", hosts, "ms", took.Milliseconds())
	}
}

// askToSave asks this host and all voters to save departures, and tells the other control hosts of them.
// It returns a channel that gets the results, and their number. Each arrives within saveTimeout.
func (f *fleet) askToSave(ctx context.Context, voters []consensus.ReplicaID, all []registry.Departure) (results <-chan saveResult, asked int) {
	m := &wire.Upstreams{Departures: all}
	sessions := f.h.cfg.Transport.Sessions()
	out := make(chan saveResult, 1+len(sessions))
	own := f.departures.begin()
	go func() { out <- saveResult{f.h.id, awaitSave(ctx, own)} }()
	asked = 1
	for _, s := range sessions {
		replica := consensus.ReplicaID(s.Remote().Replica)
		if !slices.Contains(voters, replica) {
			s.PostOrClose(m)
			continue
		}
		asked++
		go func() { out <- saveResult{replica, callToSave(ctx, s, m)} }()
	}
	return out, asked
}

// callToSave asks another control host to save departures. The wait does not end with the caller's, so
// that the host is told although others were faster.
func callToSave(ctx context.Context, s *peer.Session, m *wire.Upstreams) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), saveTimeout)
	defer cancel()
	_, sent, err := s.Call(ctx, m)
	if !sent {
		s.PostOrClose(m)
	}
	return err
}

// receiveUpstreams handles the departures that another control host sends, or its question which
// incarnation leaves.
func (f *fleet) receiveUpstreams(s *peer.Session, call uint64, m *wire.Upstreams) {
	if m.Leaving != "" {
		f.mu.Lock()
		startedAt, err := f.registry.Resolve(m.Leaving, f.now())
		f.mu.Unlock()
		_ = s.Reply(call, ResolvedReply(m.Leaving, startedAt, err))
		return
	}
	changed := f.mergeDepartures(m.Departures)
	f.logDepartures("departure taken over from another control host", changed, s.Remote().Host)
	saved := f.departures.begin()
	if call == 0 {
		return
	}
	f.h.replyAsync(s, call, func(ctx context.Context) (wire.Message, error) {
		if err := awaitSave(ctx, saved); err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "departures not saved: "+err.Error())
		}
		return &wire.Ack{}, nil
	})
}

// mergeDepartures applies departures and tells the attached hosts of the upstreams that this host has
// listed in an earlier state, which it returns. The entry hosts hear of the others too: one that has lost
// its session with the host that listed them goes on using them.
func (f *fleet) mergeDepartures(all []registry.Departure) []registry.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	unlisted := f.registry.UnlistedAmong(all)
	changed := f.registry.MergeDepartures(all, f.now())
	f.upstreamList = nil
	if len(changed) > 0 {
		f.broadcast(&wire.Upstreams{All: changed})
	}
	f.tellEntryHosts(unlisted)
	return changed
}

// tellEntryHosts tells the attached entry hosts of departures. The caller holds mu.
func (f *fleet) tellEntryHosts(all []registry.Departure) {
	if len(all) == 0 {
		return
	}
	m := &wire.Upstreams{}
	for _, d := range all {
		if d.IsStartUnknown && !d.IsNew() {
			m.Departures = append(m.Departures, d)
			continue
		}
		// Without a start time this is the call itself, which each host judges.
		m.All = append(m.All, d.Upstream())
	}
	for s, role := range f.attached {
		if role == roleEntry && s.Alive() {
			s.PostOrClose(m)
		}
	}
}

// postDepartures sends all known departures to a control host.
func (f *fleet) postDepartures(s *peer.Session) {
	f.mu.Lock()
	all := f.registry.Departures(f.now())
	f.mu.Unlock()
	if len(all) > 0 {
		s.PostOrClose(&wire.Upstreams{Departures: all})
	}
}

// logDepartures logs upstreams that this host knew in an earlier state. The host that told of their
// departure is empty if there is none.
func (f *fleet) logDepartures(message string, all []registry.Upstream, from string) {
	for _, u := range all {
		f.h.cfg.Log.Info(message, "upstream", u.ID, "address", u.Address, "state", u.State, "from", from)
	}
}

// voters returns the voting replicas; none before the cluster is bootstrapped.
func (h *Host) voters() []consensus.ReplicaID {
	if h.replica == nil {
		return nil
	}
	return h.replica.Status().Membership.Voters
}
