package group

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/planner"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// fanOut is how many hosts one host sends a request of a coordinator to; they pass it on
	// to the others. So what a host sends for a change does not grow with the group, and a
	// request reaches 156 hosts in two hops.
	fanOut = 12
	// mostDirect is up to how many hosts are asked again directly: those that one host or two
	// should have passed a request on to. Where more have not answered it is not for want of
	// the request.
	mostDirect = 2 * fanOut
	// linkPart is the part of a link that the content of a change may count on: reports and
	// answers are on their way beside it.
	linkPart = 0.5
)

// branch is a host to send to, and those that it passes the request on to.
type branch struct {
	head  wire.MapTarget
	below []wire.MapTarget
}

// divide spreads the hosts over at most fanOut branches of about one size.
func divide(targets []wire.MapTarget) []branch {
	n := min(len(targets), fanOut)
	out := make([]branch, 0, n)
	for i := range n {
		part := targets[i*len(targets)/n : (i+1)*len(targets)/n]
		out = append(out, branch{head: part[0], below: part[1:]})
	}
	return out
}

// send sends the coordinator's messages. It does not wait for sessions: a message to a
// host that can't be reached is dropped. What is sent again to a few goes to each of them
// directly, since a host that should have passed it on may be the one that is missing.
func (r *Runner) send(out []expertmap.Envelope, isAgain bool) {
	var away []expertmap.Envelope
	for _, e := range out {
		if e.To == r.address {
			r.push(inbound{from: r.address, message: e.Message})
			continue
		}
		away = append(away, e)
	}
	for _, m := range expertmap.Multicasts(away) {
		r.multicast(m, isAgain)
	}
}

func (r *Runner) multicast(m expertmap.Multicast, isAgain bool) {
	data, err := wire.Marshal(m.Message)
	if err != nil {
		r.counters.dropped.Inc(1)
		return
	}
	request := wire.MapRequest{Group: r.cfg.Group, From: uint32(r.address), Data: data, CoordinatorAddress: r.members[r.address]}
	targets := make([]wire.MapTarget, 0, len(m.To))
	for _, to := range m.To {
		targets = append(targets, wire.MapTarget{Address: wire.Address(r.members[to.Address]), Incarnation: to.Incarnation})
	}
	branches := divide(targets)
	if isAgain && len(targets) <= mostDirect {
		branches = direct(targets)
	}
	if stage := m.Message.Stage; stage != nil && (stage.Delta != nil || len(stage.Maps) > 0) {
		r.sentContent(len(data), len(targets))
		isAgain = r.rounds.isContentAgain(r.coordinator.ContentResends())
	}
	r.rounds.sent(len(branches), cost(request, branches), isAgain)
	r.post(request, branches, m.Message.Stage != nil)
}

// cost returns the bytes of a request to the heads of branches, the layers below included.
func cost(request wire.MapRequest, branches []branch) int {
	sum := 0
	for _, b := range branches {
		m := request
		m.Incarnation, m.ForwardTo = b.head.Incarnation, b.below
		if data, err := wire.Encode(0, false, &m); err == nil {
			sum += len(data) + peer.FrameOverhead
		}
	}
	return sum
}

// sentContent lets the coordinator wait for as long as content of that many bytes needs to
// reach all targets, and their ranks to copy the experts: nobody can answer before.
func (r *Runner) sentContent(size, targets int) {
	r.counters.content.Inc(int64(targets))
	ticks := contentTicks(size, targets, r.cfg.LinkRate)
	if shape := r.cfg.Shape(); shape != nil {
		ticks += int(planner.MaxCopyTime(shape) / tickInterval)
	}
	r.coordinator.AwaitTransfer(ticks)
}

// contentTicks returns how many ticks a message of that many bytes needs to reach all
// targets: it goes over the coordinator's link once a branch, then over the links of the
// hosts that pass it on. Rate is that of a link in bytes a second, 0 if unknown.
func contentTicks(size, targets int, rate float64) int {
	if rate <= 0 {
		return 0
	}
	branches := min(targets, fanOut)
	below := (targets + fanOut - 1) / fanOut
	took := float64(size*(branches+below)) / (rate * linkPart)
	return int(took * float64(time.Second) / float64(tickInterval))
}

// direct returns a branch for each host.
func direct(targets []wire.MapTarget) []branch {
	out := make([]branch, 0, len(targets))
	for _, t := range targets {
		out = append(out, branch{head: t})
	}
	return out
}

// post sends a request to the heads of branches. Requests to stage stay in their order on
// each session: one that asks again must not overtake the content. All others are small and
// go before reports and content, since ranks may hold until they are there.
func (r *Runner) post(request wire.MapRequest, branches []branch, isStage bool) {
	send := (*peer.Session).PostUrgent
	if isStage {
		send = (*peer.Session).Post
	}
	for _, b := range branches {
		m := request
		m.Incarnation, m.ForwardTo = b.head.Incarnation, b.below
		r.deliver(string(b.head.Address), &m, send)
	}
}

// deliver sends a message over the session with a host, or once there is one.
func (r *Runner) deliver(address string, m wire.Message, send func(*peer.Session, wire.Message) error) {
	if s := r.cfg.Pool.Live(address); s != nil && send(s, m) == nil {
		return
	}
	go r.dial(address, m, send)
}

// dial sends a message once there is a session.
func (r *Runner) dial(address string, m wire.Message, send func(*peer.Session, wire.Message) error) {
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	if s, err := r.cfg.Pool.Get(ctx, address); err != nil || send(s, m) != nil {
		r.counters.dropped.Inc(1)
	}
}

// reply answers a coordinator: the one of this host, the session that the request came
// by, or, where others passed it on, the coordinator's host.
func (r *Runner) reply(e *expertmap.Envelope) {
	if e.To == r.address {
		r.push(inbound{from: r.address, isReply: true, message: e.Message})
		return
	}
	data, err := wire.Marshal(e.Message)
	if err != nil {
		r.counters.dropped.Inc(1)
		return
	}
	m := &wire.MapReply{Group: r.cfg.Group, From: uint32(r.address), Data: data}
	from := r.origin[e.To]
	switch {
	case from.home != "":
		r.deliver(from.home, m, (*peer.Session).PostUrgent)
	case from.session == nil || from.session.PostUrgent(m) != nil:
		r.counters.dropped.Inc(1)
	}
}

// origin is where the answer to a coordinator goes.
type origin struct {
	session *peer.Session
	home    string
}
