package wire

// Kinds of the messages between the agents of a group.
const (
	KindMapRequest  Kind = 80
	KindMapReply    Kind = 81
	KindGroupQuery  Kind = 82
	KindGroupAnswer Kind = 83
	KindExpertLoad  Kind = 84
	// KindExpertsWanted is the kind of ExpertsWanted.
	KindExpertsWanted Kind = 85
)

// MapRequest carries an encoded expertmap.Message from the coordinator of an expert map
// change to the participant on a host.
type MapRequest struct {
	Group string `cbor:"1,keyasint"`
	// From is the first rank of the coordinator's host. Replies are addressed to it.
	From uint32 `cbor:"2,keyasint"`
	Data []byte `cbor:"3,keyasint"`
	// Incarnation is the incarnation of the receiver. It is not in Data, so that Data is the
	// same for all receivers.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	// CoordinatorAddress is the peer listener of the coordinator's host, to which replies
	// are sent. If it is empty, replies are sent on the session of the request.
	CoordinatorAddress string `cbor:"5,keyasint,omitempty"`
	// ForwardTo lists the hosts to which the receiver must forward Data.
	ForwardTo []MapTarget `cbor:"6,keyasint,omitempty"`
}

// MapTarget is a receiver of a MapRequest. It is encoded as an array to save bytes, because
// requests list many receivers.
type MapTarget struct {
	_ struct{} `cbor:",toarray"`
	// Address is the peer listener of the host's agent.
	Address     Address
	Incarnation uint64
}

// Kind implements Message.
func (*MapRequest) Kind() Kind { return KindMapRequest }

// MapReply carries an encoded expertmap.Message from a participant to the coordinator. From
// is the first rank of the participant's host.
type MapReply struct {
	Group string `cbor:"1,keyasint"`
	From  uint32 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*MapReply) Kind() Kind { return KindMapReply }

// GroupQuery asks an entry host, a control host or an agent for the hosts of a group of
// ranks. The reply is GroupAnswer.
type GroupQuery struct {
	Group string `cbor:"1,keyasint"`
	// Epoch is the epoch of the group. Only control hosts use it.
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

// GroupAnswer is the reply to GroupQuery. It may be incomplete, because the asked host may
// not know all hosts of the group.
type GroupAnswer struct {
	Members []GroupMember `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*GroupAnswer) Kind() Kind { return KindGroupAnswer }

// ExpertLoad reports the measurements of a host's ranks to the agent that plans the expert
// maps of the group.
type ExpertLoad struct {
	Group string `cbor:"1,keyasint"`
	// Ranks contains the measurements of the host's ranks, starting with FirstRank.
	FirstRank uint32     `cbor:"2,keyasint"`
	Ranks     []RankLoad `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*ExpertLoad) Kind() Kind { return KindExpertLoad }

// RankLoad contains the measurements of one rank since its last report.
type RankLoad struct {
	// StepUS is the mean step time in microseconds.
	StepUS uint64 `cbor:"1,keyasint"`
	// Tokens is the number of tokens by layer and expert slot of the rank.
	Tokens [][]uint32 `cbor:"2,keyasint"`
	// Selections is how often the rank's own requests selected each expert, by layer and expert.
	// Engines that count selections set it instead of Tokens.
	Selections [][]uint32 `cbor:"3,keyasint,omitempty"`
	// ExpertsByLayer lists the experts on the rank, as of map version Version. It is only
	// set together with Selections.
	ExpertsByLayer [][]uint16 `cbor:"4,keyasint,omitempty"`
	Version        uint64     `cbor:"5,keyasint,omitempty"`
	// Slowdown is the slowdown of the rank: its step time divided by its usual step time, or 0 if
	// unknown.
	Slowdown float64 `cbor:"6,keyasint,omitempty"`
	// PackedSelections is a compact encoding of Selections. The rounding error of each count
	// is smaller than its random variation.
	PackedSelections []byte `cbor:"7,keyasint,omitempty"`
}

// ExpertsWanted asks the sender of an ExpertLoad to send one that lists the experts on its
// ranks, because the planning agent does not know them.
type ExpertsWanted struct {
	Group string `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*ExpertsWanted) Kind() Kind { return KindExpertsWanted }
