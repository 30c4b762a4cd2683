package expertmap

// resolve decides on the states of all ranks. Nothing is done about the
// decision before the stage round has confirmed the promises.
func (c *Coordinator) resolve() []Envelope {
	var ranks []Status
	for i := range c.peers {
		ranks = append(ranks, c.peers[i].ranks...)
	}
	c.found = resolve(ranks)
	c.decided = c.found.present
	present := c.decided.Installed.Version
	switch {
	case present.IsZero():
		return c.bootstrap()
	case c.found.open():
		c.recovering = true
		if len(c.wanted()) > 0 {
			return c.enter(fetching)
		}
		return c.enter(staging)
	case c.proposal == nil:
		return c.finish(OutcomeSettled)
	case c.proposal.Base != present:
		return c.finish(OutcomeStale)
	}
	return c.enter(staging)
}

// bootstrap gives the proposed map to a group without any. No rank can start a
// step, so nothing has to be armed ahead.
func (c *Coordinator) bootstrap() []Envelope {
	if c.proposal == nil {
		return c.finish(OutcomeSettled)
	}
	if !c.proposal.Base.IsZero() {
		return c.finish(OutcomeStale)
	}
	c.recovering = true
	c.decided = c.proposed(0)
	c.found.behind = true
	return c.enter(staging)
}

func (c *Coordinator) proposed(step uint64) CurrentMap {
	return CurrentMap{
		Installed: Installed{Version: c.ballot, FromStep: step},
		Base:      c.decided.Installed.Version,
	}
}

// staged goes on after the weights are loaded and the promises confirmed.
func (c *Coordinator) staged() []Envelope {
	switch {
	case c.recovering && c.found.abort:
		return c.enter(aborting)
	case c.recovering:
		return c.enter(Committing)
	}
	var last uint64
	for i := range c.peers {
		last = max(last, c.peers[i].step)
	}
	c.armStep = last + c.cfg.ArmAhead
	return c.enter(Arming)
}
