package consensus

import (
	"slices"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxVoterChange is how many voters one change may add or remove. Majorities of two
// memberships that differ by one voter always have a replica in common.
const maxVoterChange = 1

// EncodeMembership returns the data of a log entry of kind EntryMembership.
func EncodeMembership(m Membership) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "encode membership")
}

// DecodeMembership decodes the data of a log entry of kind EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := cbor.Unmarshal(data, &m)
	return m, errors.Wrap(err, "decode membership")
}

// membershipAt is a membership and the index of the log entry that contains it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// memberships lists the memberships in the log, oldest first. A membership takes effect as
// soon as its entry is in the log, committed or not.
type memberships struct{ list []membershipAt }

func newMemberships(meta SnapshotMeta) memberships {
	return memberships{list: []membershipAt{{meta.Index, meta.Membership.Clone()}}}
}

func (s *memberships) latest() membershipAt { return s.list[len(s.list)-1] }

// at returns the membership in effect at index i.
func (s *memberships) at(i uint64) Membership {
	k := len(s.list) - 1
	for k > 0 && s.list[k].index > i {
		k--
	}
	return s.list[k].membership
}

// truncateAndAppend removes the memberships from entries[0].Index on and appends those that
// the entries contain.
func (s *memberships) truncateAndAppend(entries []Entry) error {
	decoded, err := decodeMemberships(entries)
	if err != nil {
		return err
	}
	s.truncate(entries[0].Index)
	s.list = append(s.list, decoded...)
	return nil
}

func decodeMemberships(entries []Entry) ([]membershipAt, error) {
	var decoded []membershipAt
	for i := range entries {
		if entries[i].Kind != EntryMembership {
			continue
		}
		m, err := DecodeMembership(entries[i].Data)
		if err != nil {
			return nil, err
		}
		decoded = append(decoded, membershipAt{entries[i].Index, m})
	}
	return decoded, nil
}

func (s *memberships) truncate(from uint64) {
	for len(s.list) > 1 && s.list[len(s.list)-1].index >= from {
		s.list = s.list[:len(s.list)-1]
	}
}

// compact removes the memberships older than the one in effect at index i.
func (s *memberships) compact(i uint64) {
	for len(s.list) > 1 && s.list[1].index <= i {
		s.list = slices.Delete(s.list, 0, 1)
	}
}

// checkChange returns an error if next is invalid or differs from old by more than one
// voter.
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
	for _, id := range all {
		if !utf8.ValidString(string(id)) {
			return errors.Wrap(ErrInvalidMembership, "a replica's ID is not valid UTF-8")
		}
	}
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

// Bootstrap makes this replica campaign as a voter of an initial membership. If it wins,
// the membership becomes the first log entry. Several replicas may bootstrap at the same time, with
// different voters, if any two majorities of these have a replica in common: it votes once in a term,
// and for nobody whose log lacks what it has. Bootstrap fails with ErrLogNotEmpty if this replica has a
// log or a leader, and with ErrInvalidMembership. The membership is not persisted before the first
// entry is, so Bootstrap must be called again after a crash before that. It may be called again with
// another membership before that, too.
func (c *Core) Bootstrap(m Membership) error {
	if c.log.lastIndex() > 0 || c.leader != "" {
		return ErrLogNotEmpty
	}
	if err := checkMembership(m); err != nil {
		return err
	}
	if !m.IsVoter(c.id) {
		return errors.Wrap(ErrInvalidMembership, "the bootstrapping replica must be a voter")
	}
	c.memberships.list[0].membership = m.Clone()
	c.campaign(PreCandidate, false)
	return nil
}

// Membership returns the membership in effect. It may be uncommitted.
func (c *Core) Membership() Membership { return c.memberships.latest().membership.Clone() }

// ProposeMembership appends a membership to the leader's log. One change may add or remove
// one voter. It fails with ErrNotLeader, ErrNoQuorum or ErrTransferring as Propose does. It
// fails with ErrChangePending while an earlier membership or the first entry of the term is
// uncommitted, and with ErrInvalidMembership.
func (c *Core) ProposeMembership(m Membership) (index, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if c.memberships.latest().index > c.hardState.Commit || !c.hasCommittedInTerm() {
		return 0, 0, ErrChangePending
	}
	if err := checkChange(c.Membership(), m); err != nil {
		return 0, 0, err
	}
	data, err := EncodeMembership(m)
	if err != nil {
		return 0, 0, err
	}
	index, err = c.appendLeaderEntry(EntryMembership, data)
	return index, c.hardState.Term, err
}
