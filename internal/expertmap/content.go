package expertmap

import "slices"

// prepare brings the proposal into its final form.
func (c *Coordinator) prepare() {
	c.delta, c.content = nil, nil
	if c.proposal == nil {
		return
	}
	next := c.proposal.Map
	next.Version = c.ballot
	if base, ok := c.basis(); ok {
		next = Align(base, next)
		c.delta = Diff(base, next)
	}
	c.proposal = &Proposal{Base: c.proposal.Base, Map: next}
}

// basis returns the map that the proposal is told as a difference from: the one that it
// was planned on, or any other that is known where its content is not.
func (c *Coordinator) basis() (Map, bool) {
	if m, ok := library(c.maps).find(c.proposal.Base); ok {
		return m, true
	}
	if len(c.maps) == 0 {
		return Map{}, false
	}
	return c.maps[0], true
}

// AwaitTransfer tells that what was just sent needs that many ticks to reach all participants. Until then nobody is asked again: the question would overtake the
// content, and everyone would be sent it a second time while the first is on its way.
func (c *Coordinator) AwaitTransfer(ticks int) { c.onWay = max(c.onWay, c.ticks+ticks) }

// ContentResends returns how often the ballot has sent content again to who lacked it.
func (c *Coordinator) ContentResends() int { return c.again }

// learn keeps each map once.
func (c *Coordinator) learn(maps []Map) {
	for _, m := range maps {
		if _, ok := library(c.maps).find(m.Version); !ok {
			c.maps = append(c.maps, m)
		}
	}
}

// lacking sends a participant the content that it asks for.
func (c *Coordinator) lacking(p *peer, r *Refused) []Envelope {
	if p == nil || r.Ballot != c.ballot || c.phase != staging || p.answered {
		return nil
	}
	p.lacks, p.known = true, r.KnownMaps
	c.again++
	return []Envelope{{To: p.addr, Message: c.message(p)}}
}

// wanted are the maps that a rank without any has to load and whose content isn't known
// here.
func (c *Coordinator) wanted() []Version {
	if !slices.ContainsFunc(c.peers, peer.hasUnjoined) {
		return nil
	}
	var out []Version
	for _, v := range []Version{c.decided.Installed.Version, c.decided.Base} {
		if _, ok := library(c.maps).find(v); !ok && !v.IsZero() {
			out = append(out, v)
		}
	}
	return out
}

// isSource reports whether a participant is one that the wanted maps are asked of: the
// first that knows them, or all where none does, until the deadline.
func (c *Coordinator) isSource(p *peer) bool {
	wanted := c.wanted()
	knows := func(o peer) bool {
		return !slices.ContainsFunc(wanted, func(v Version) bool { return !slices.Contains(o.known, v) })
	}
	first := slices.IndexFunc(c.peers, knows)
	return first < 0 || c.peers[first].addr == p.addr
}

// hasUnjoined reports whether some rank of the participant has no map.
func (p peer) hasUnjoined() bool {
	return slices.ContainsFunc(p.ranks, func(r Status) bool { return !r.HasMap() })
}

// toStage returns the maps that the ranks have to load: the proposed one, or in
// recovery the present ones.
func (c *Coordinator) toStage() []Map {
	present := c.decided.Installed.Version
	if c.recovering && present != c.ballot {
		return slices.DeleteFunc(slices.Clone(c.maps), func(m Map) bool {
			return m.Version != present && m.Version != c.decided.Base
		})
	}
	return []Map{c.proposal.Map}
}

// stage returns the stage round's message. In recovery only a participant with
// a rank without a map gets maps; for the others the message only confirms. Content is
// sent once, and again to those who ask for it: where copying takes longer than a
// coordinator waits, maps that were sent again filled its link, and the orders to arm and
// to commit waited behind them.
func (c *Coordinator) stage(p *peer) *Stage {
	s := &Stage{Ballot: c.ballot, Incarnation: p.incarnation, OnlyRanksWithoutMap: c.recovering}
	if c.recovering && !p.hasUnjoined() {
		return s
	}
	for _, m := range c.content {
		s.Versions = append(s.Versions, m.Version)
	}
	switch {
	case c.isRepeated() && !p.lacks:
	case c.delta != nil && !c.recovering && slices.Contains(p.known, c.delta.Base):
		s.Delta = c.delta
	default:
		s.Maps = c.content
	}
	return s
}
