package expertmap

import "slices"

// prepareProposal sets the version of the proposed map and, if another map is known, the order of
// its slots and its delta from that map.
func (c *Coordinator) prepareProposal() {
	c.delta, c.content = nil, nil
	if c.proposal == nil {
		return
	}
	next := c.proposal.Map
	next.Version = c.ballot
	if base, ok := c.deltaBase(); ok {
		next = Align(base, next)
		c.delta = Diff(base, next)
	}
	c.proposal = &Proposal{Base: c.proposal.Base, Map: next}
}

// deltaBase returns the map from which the proposal is sent as a delta: the map that the proposal
// was planned on, or any other known map if the content of that one is unknown.
func (c *Coordinator) deltaBase() (Map, bool) {
	if m, ok := mapCache(c.knownMaps).find(c.proposal.Base); ok {
		return m, true
	}
	if len(c.knownMaps) == 0 {
		return Map{}, false
	}
	return c.knownMaps[0], true
}

// AwaitTransfer tells the coordinator that the content just sent needs up to the given number of
// ticks to reach all participants. Until then no request is sent again, and the round's deadline
// is put off: a repeated request could arrive before the content, and the participants would then
// ask for the same content a second time.
func (c *Coordinator) AwaitTransfer(ticks int) { c.transferEnd = max(c.transferEnd, c.ticks+ticks) }

// ContentResends returns how often this ballot has sent map content again to a participant that
// lacked it.
func (c *Coordinator) ContentResends() int { return c.resends }

// addMaps adds maps to the known ones, each version once.
func (c *Coordinator) addMaps(maps []Map) {
	for _, m := range maps {
		if _, ok := mapCache(c.knownMaps).find(m.Version); !ok {
			c.knownMaps = append(c.knownMaps, m)
		}
	}
}

// resendContent repeats the stage request, with the content of its maps, to a participant that
// has answered that it lacks the content.
func (c *Coordinator) resendContent(p *peer, r *Refused) []Envelope {
	if p == nil || r.Ballot != c.ballot || c.round != staging || p.answered {
		return nil
	}
	p.needsContent, p.knownMaps = true, r.KnownMaps
	c.resends++
	return []Envelope{{To: p.addr, Message: c.message(p)}}
}

// missingMaps returns the versions of the maps that ranks without a map have to load and whose
// content the coordinator doesn't know.
func (c *Coordinator) missingMaps() []Version {
	if !slices.ContainsFunc(c.peers, peer.hasRankWithoutMap) {
		return nil
	}
	var out []Version
	for _, v := range []Version{c.decided.Installed.Version, c.decided.Base} {
		if _, ok := mapCache(c.knownMaps).find(v); !ok && !v.IsZero() {
			out = append(out, v)
		}
	}
	return out
}

// isMapSource reports whether participant p is asked for the missing maps. Only the first
// participant that has all of them is asked, or every participant if none has them all. The fetch
// round lasts until its deadline at most.
func (c *Coordinator) isMapSource(p *peer) bool {
	missing := c.missingMaps()
	hasAll := func(o peer) bool {
		return !slices.ContainsFunc(missing, func(v Version) bool { return !slices.Contains(o.knownMaps, v) })
	}
	first := slices.IndexFunc(c.peers, hasAll)
	return first < 0 || c.peers[first].addr == p.addr
}

// hasRankWithoutMap reports whether some rank of the participant has no map, as after a restart
// of its engine.
func (p peer) hasRankWithoutMap() bool {
	return slices.ContainsFunc(p.ranks, func(r Status) bool { return !r.HasMap() })
}

// mapsToStage returns the maps that the ranks have to load: the proposed map, or in recovery the
// group's current map and the one before it.
func (c *Coordinator) mapsToStage() []Map {
	current := c.decided.Installed.Version
	if c.recovering && current != c.ballot {
		return slices.DeleteFunc(slices.Clone(c.knownMaps), func(m Map) bool {
			return m.Version != current && m.Version != c.decided.Base
		})
	}
	return []Map{c.proposal.Map}
}

// stageMessage returns the stage request for participant p. In recovery it names maps only if p
// has a rank without a map; otherwise it only confirms the promise. Map content is sent once, and
// again only to participants that ask for it: while ranks needed longer to copy weights than the
// coordinator waits for an answer, repeated content filled the coordinator's link, and the arm
// and commit requests queued behind it.
func (c *Coordinator) stageMessage(p *peer) *Stage {
	s := &Stage{Ballot: c.ballot, Incarnation: p.incarnation, OnlyRanksWithoutMap: c.recovering}
	if c.recovering && !p.hasRankWithoutMap() {
		return s
	}
	for _, m := range c.content {
		s.Versions = append(s.Versions, m.Version)
	}
	switch {
	case c.isRetry() && !p.needsContent:
	case c.delta != nil && !c.recovering && slices.Contains(p.knownMaps, c.delta.Base):
		s.Delta = c.delta
	default:
		s.Maps = c.content
	}
	return s
}
