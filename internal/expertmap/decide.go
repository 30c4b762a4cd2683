package expertmap

// decide chooses the next round from the states of all ranks. No rank is told to arm, commit or
// abort before the stage round has confirmed the promises.
func (c *Coordinator) decide() []Envelope {
	var ranks []Status
	for i := range c.peers {
		ranks = append(ranks, c.peers[i].ranks...)
	}
	c.state = evaluateRanks(ranks)
	c.decided = c.state.current
	current := c.decided.Installed.Version
	switch {
	case current.IsZero():
		return c.bootstrap()
	case c.state.needsRecovery():
		c.recovering = true
		if len(c.missingMaps()) > 0 {
			return c.enterRound(fetching)
		}
		return c.enterRound(staging)
	case c.proposal == nil:
		return c.finish(OutcomeSettled)
	case c.proposal.Base != current:
		return c.finish(OutcomeStale)
	}
	return c.enterRound(staging)
}

// bootstrap gives the proposed map to a group that has none. No rank of such a group can start a
// step, so the map doesn't have to be armed for a later step.
func (c *Coordinator) bootstrap() []Envelope {
	if c.proposal == nil {
		return c.finish(OutcomeSettled)
	}
	if !c.proposal.Base.IsZero() {
		return c.finish(OutcomeStale)
	}
	c.recovering = true
	c.decided = c.proposedMap(0)
	c.state.isBehind = true
	return c.enterRound(staging)
}

func (c *Coordinator) proposedMap(step uint64) CurrentMap {
	return CurrentMap{
		Installed: Installed{Version: c.ballot, FromStep: step},
		Base:      c.decided.Installed.Version,
	}
}

// afterStaging starts the next round once the weights are loaded and the promises are confirmed.
func (c *Coordinator) afterStaging() []Envelope {
	switch {
	case c.recovering && c.state.mustAbort:
		return c.enterRound(aborting)
	case c.recovering:
		return c.enterRound(Committing)
	}
	lastStarted := c.lastStarted
	for i := range c.peers {
		lastStarted = max(lastStarted, c.peers[i].step)
	}
	c.armStep = lastStarted + c.cfg.ArmAhead
	return c.enterRound(Arming)
}
