package wire

// Kinds of the messages between the agents of a group.
const (
	KindMapRequest  Kind = 80
	KindMapReply    Kind = 81
	KindGroupQuery  Kind = 82
	KindGroupAnswer Kind = 83
	KindExpertLoad  Kind = 84
	// KindExpertsWanted asks for a report that lists experts.
	KindExpertsWanted Kind = 85
)

// MapRequest carries an encoded expertmap.Message to the participant of a host.
type MapRequest struct {
	Group string `cbor:"1,keyasint"`
	// From is the first rank of the sender's host, the address to reply to.
	From uint32 `cbor:"2,keyasint"`
	Data []byte `cbor:"3,keyasint"`
	// Incarnation is that of the receiver, which Data leaves out: Data is the same for all.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	// CoordinatorAddress is the peer listener of the coordinator's host, which a reply goes to; empty
	// where the message comes from there.
	CoordinatorAddress string `cbor:"5,keyasint,omitempty"`
	// ForwardTo lists the hosts that the receiver has to pass Data on to.
	ForwardTo []MapTarget `cbor:"6,keyasint,omitempty"`
}

// MapTarget is a host that a MapRequest is for. Requests list many of them.
type MapTarget struct {
	_ struct{} `cbor:",toarray"`
	// Address is the peer listener of the host's agent.
	Address     Address
	Incarnation uint64
}

// Kind implements Message.
func (*MapRequest) Kind() Kind { return KindMapRequest }

// MapReply carries an encoded expertmap.Message to the coordinator of a host.
type MapReply struct {
	Group string `cbor:"1,keyasint"`
	From  uint32 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*MapReply) Kind() Kind { return KindMapReply }

// GroupQuery asks an entry host, a control host or an agent for the hosts of a group. The
// reply is GroupAnswer.
type GroupQuery struct {
	Group string `cbor:"1,keyasint"`
	// Epoch is that of the group, for control hosts.
	Epoch uint64 `cbor:"2,keyasint,omitempty"`
	// FirstRankOnly asks for the host of the first rank only.
	FirstRankOnly bool `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*GroupQuery) Kind() Kind { return KindGroupQuery }

// GroupMember is one host of a group.
type GroupMember struct {
	// Address is the peer listener of the host's agent.
	Address   string `cbor:"1,keyasint"`
	FirstRank uint32 `cbor:"2,keyasint"`
	Ranks     uint32 `cbor:"3,keyasint"`
}

// GroupAnswer answers a GroupQuery with what the directory knows, which may be too little.
type GroupAnswer struct {
	Members []GroupMember `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*GroupAnswer) Kind() Kind { return KindGroupAnswer }

// ExpertLoad tells the planning agent of a group what the ranks of a host measured.
type ExpertLoad struct {
	Group string `cbor:"1,keyasint"`
	// Ranks are the host's ranks, from the first on.
	FirstRank uint32     `cbor:"2,keyasint"`
	Ranks     []RankLoad `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*ExpertLoad) Kind() Kind { return KindExpertLoad }

// RankLoad is what one rank measured since its last report.
type RankLoad struct {
	// StepUS is the mean time of a step, in microseconds.
	StepUS uint64 `cbor:"1,keyasint"`
	// Tokens counts, by layer, the tokens of each of the rank's expert slots.
	Tokens [][]uint32 `cbor:"2,keyasint"`
	// Picks counts, by layer and expert, what the rank's own requests chose. It is set in
	// place of Tokens where engines count so.
	Picks [][]uint32 `cbor:"3,keyasint,omitempty"`
	// ExpertsByLayer lists the rank's experts by layer, under the map Version; with Picks only.
	ExpertsByLayer [][]uint16 `cbor:"4,keyasint,omitempty"`
	Version        uint64     `cbor:"5,keyasint,omitempty"`
	// Pace is the rank's time over its usual one; 0 where it is not known.
	Pace float64 `cbor:"6,keyasint,omitempty"`
	// PackedSelections holds Picks in few bytes, each rounded by less than it differs by chance.
	PackedSelections []byte `cbor:"7,keyasint,omitempty"`
}

// ExpertsWanted asks the sender of an ExpertLoad for one that lists the experts of its
// ranks: the planning host does not know them.
type ExpertsWanted struct {
	Group string `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*ExpertsWanted) Kind() Kind { return KindExpertsWanted }
