package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxVoterChange is how many voters one change may add or remove. Two majorities
// that differ by one voter always share a replica.
const maxVoterChange = 1

// EncodeMembership returns the data of an EntryMembership.
func EncodeMembership(m Membership) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "encode membership")
}

// DecodeMembership reads the data of an EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := cbor.Unmarshal(data, &m)
	return m, errors.Wrap(err, "decode membership")
}

// membershipAt is a membership and the index of the entry that states it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// memberships lists what the log states, oldest first. A membership is in force
// from the moment its entry is in the log, committed or not.
type memberships struct{ list []membershipAt }

func newMemberships(meta SnapshotMeta) memberships {
	return memberships{list: []membershipAt{{meta.Index, meta.Membership.Clone()}}}
}

func (s *memberships) latest() membershipAt { return s.list[len(s.list)-1] }

// at returns the membership in force at index i.
func (s *memberships) at(i uint64) Membership {
	k := len(s.list) - 1
	for k > 0 && s.list[k].index > i {
		k--
	}
	return s.list[k].membership
}

// put takes over what the entries state, after those at or behind the first of
// them are dropped.
func (s *memberships) put(entries []Entry) error {
	found, err := scanMemberships(entries)
	if err != nil {
		return err
	}
	s.truncate(entries[0].Index)
	s.list = append(s.list, found...)
	return nil
}

func scanMemberships(entries []Entry) ([]membershipAt, error) {
	var found []membershipAt
	for i := range entries {
		if entries[i].Kind != EntryMembership {
			continue
		}
		m, err := DecodeMembership(entries[i].Data)
		if err != nil {
			return nil, err
		}
		found = append(found, membershipAt{entries[i].Index, m})
	}
	return found, nil
}

func (s *memberships) truncate(from uint64) {
	for len(s.list) > 1 && s.list[len(s.list)-1].index >= from {
		s.list = s.list[:len(s.list)-1]
	}
}

// compact forgets what is older than the membership in force at i.
func (s *memberships) compact(i uint64) {
	for len(s.list) > 1 && s.list[1].index <= i {
		s.list = slices.Delete(s.list, 0, 1)
	}
}

// checkChange refuses a membership that must not follow old.
func checkChange(old, next Membership) error {
	if err := checkMembership(next); err != nil {
		return err
	}
	if n := voterDifference(old, next); n > maxVoterChange {
		return errors.Wrapf(ErrInvalidMembership, "%d voters would change", n)
	}
	return nil
}

func checkMembership(m Membership) error {
	if len(m.Voters) == 0 {
		return errors.Wrap(ErrInvalidMembership, "no voters")
	}
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	if len(slices.Compact(all)) != len(m.Voters)+len(m.Learners) {
		return errors.Wrap(ErrInvalidMembership, "a replica is listed twice")
	}
	return nil
}

func voterDifference(a, b Membership) int {
	n := 0
	for _, id := range a.Voters {
		if !b.IsVoter(id) {
			n++
		}
	}
	for _, id := range b.Voters {
		if !a.IsVoter(id) {
			n++
		}
	}
	return n
}

// Bootstrap makes the replica campaign for a first membership. The membership
// becomes the first entry once a majority of its voters has voted, so that of
// several bootstraps with the same voters one wins. It is refused with
// ErrNotEmpty where a log, a membership or a leader is known, and it is not
// persisted: after a crash before the first entry it has to be called again.
func (c *Core) Bootstrap(m Membership) error {
	if c.log.last() > 0 || c.leader != "" || len(c.Membership().Voters) > 0 {
		return ErrLogNotEmpty
	}
	if err := checkMembership(m); err != nil {
		return err
	}
	if !m.IsVoter(c.id) {
		return errors.Wrap(ErrInvalidMembership, "the bootstrapping replica must be a voter")
	}
	c.members.list[0].membership = m.Clone()
	c.campaign(PreCandidate, false)
	return nil
}

// Membership returns the membership in force; it may not be committed yet.
func (c *Core) Membership() Membership { return c.members.latest().membership.Clone() }

// ProposeMembership appends a membership. One voter may be added or removed at
// a time. It is refused with ErrNotLeader, ErrNoQuorum or ErrTransferring as a
// proposal is, with ErrChangePending while an earlier one or the term's first
// entry is uncommitted, and with ErrBadChange.
func (c *Core) ProposeMembership(m Membership) (index, term uint64, err error) {
	if err := c.mayPropose(); err != nil {
		return 0, 0, err
	}
	if c.members.latest().index > c.hard.Commit || !c.committedInTerm() {
		return 0, 0, ErrChangePending
	}
	if err := checkChange(c.Membership(), m); err != nil {
		return 0, 0, err
	}
	data, err := EncodeMembership(m)
	if err != nil {
		return 0, 0, err
	}
	index, err = c.appendOwn(EntryMembership, data)
	return index, c.hard.Term, err
}
