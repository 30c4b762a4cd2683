package wire

// Kinds of the messages sent to control hosts and between them.
const (
	KindConsensus     Kind = 60
	KindPropose       Kind = 61
	KindProposed      Kind = 62
	KindWatch         Kind = 63
	KindChanges       Kind = 64
	KindInForce       Kind = 65
	KindClaimRequest  Kind = 66
	KindClaimReply    Kind = 67
	KindFinishRequest Kind = 68
	KindFinishReply   Kind = 69
	KindOrderQuery    Kind = 70
	KindOrderAnswer   Kind = 71
	KindJoin          Kind = 72
	KindStatusQuery   Kind = 73
	KindStatusAnswer  Kind = 74
	KindReadQuery     Kind = 75
	KindReadAnswer    Kind = 76
	KindConsensusPart Kind = 77
)

// Consensus carries an encoded consensus.Message between replicas.
type Consensus struct {
	To   string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Consensus) Kind() Kind { return KindConsensus }

// ConsensusPart carries one piece of an encoded consensus.Message that is too long for a
// single message. The pieces are sent in order.
type ConsensusPart struct {
	To string `cbor:"1,keyasint"`
	// Message is the sender's sequence number of the divided message.
	Message uint64 `cbor:"2,keyasint"`
	// Index is the number of this piece, from 0; Count is the number of pieces.
	Index uint32 `cbor:"3,keyasint"`
	Count uint32 `cbor:"4,keyasint"`
	Data  []byte `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*ConsensusPart) Kind() Kind { return KindConsensusPart }

// Propose forwards an encoded command to the leader. The reply is Proposed or Failure.
type Propose struct {
	Data []byte `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Propose) Kind() Kind { return KindPropose }

// Proposed carries the encoded result of an applied command.
type Proposed struct {
	Index  uint64 `cbor:"1,keyasint"`
	Result []byte `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Proposed) Kind() Kind { return KindProposed }

// Document is one accepted service document at one revision.
type Document struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Text     []byte `cbor:"3,keyasint"`
}

// Watch asks a host for the documents that are newer than the sender's, and for later
// changes. The reply is Changes, and so are the messages with later changes.
type Watch struct {
	// Since is the highest revision that the sender has.
	Since uint64 `cbor:"1,keyasint"`
	// CurrentOnly asks for the current documents only, not for later changes.
	CurrentOnly bool `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Watch) Kind() Kind { return KindWatch }

// Changes carries documents in ascending order of revision.
type Changes struct {
	Documents []Document `cbor:"1,keyasint,omitempty"`
	// Revision is the highest revision that the sender has.
	Revision uint64 `cbor:"2,keyasint"`
	// Linearizable is set if the sender confirmed with a quorum that it has the newest
	// documents.
	Linearizable bool `cbor:"3,keyasint,omitempty"`
	// Evacuations is what the sender knows, at the same read if Linearizable is set; nil if no
	// data centre was ever evacuated.
	Evacuations *Evacuations `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*Changes) Kind() Kind { return KindChanges }

// ActiveRevision is the configuration revision that a host uses to serve requests.
type ActiveRevision struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Role       string `cbor:"3,keyasint"`
	// Revision is the highest revision that the host has applied.
	Revision uint64 `cbor:"4,keyasint"`
	// AgeMS is the age of the host's report in milliseconds.
	AgeMS uint64 `cbor:"5,keyasint,omitempty"`
}

// InForce reports to control hosts which revisions hosts use.
type InForce struct {
	Hosts []ActiveRevision `cbor:"1,keyasint" independent:"true"`
}

// Kind implements Message.
func (*InForce) Kind() Kind { return KindInForce }

// ClaimState is the state of the claim on a non-idempotent call.
type ClaimState uint8

const (
	// ClaimGranted means that the requesting attempt may dispatch the call once.
	ClaimGranted ClaimState = iota + 1
	// ClaimInProgress means that another attempt holds the claim.
	ClaimInProgress
	// ClaimFinished means that the call has run; Response is its response, if recorded.
	ClaimFinished
	// ClaimUnknown means that the call may have run and must not run again.
	ClaimUnknown
	// ClaimKeyReused means that the key was used for a request with another digest.
	ClaimKeyReused
	// ClaimRefused means that the workspace has too many claims. The call has not run.
	ClaimRefused
)

// ClaimRequest asks for the right to dispatch a non-idempotent call. The reply is
// ClaimReply or Failure.
type ClaimRequest struct {
	Workspace string    `cbor:"1,keyasint"`
	Key       string    `cbor:"2,keyasint"`
	Digest    [32]byte  `cbor:"3,keyasint"`
	Attempt   AttemptID `cbor:"4,keyasint"`
	// TimeoutMS is how many milliseconds the call may take before its outcome counts as
	// unknown.
	TimeoutMS uint64 `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*ClaimRequest) Kind() Kind { return KindClaimRequest }

// Response is the recorded response of a non-idempotent call.
type Response struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
}

// ClaimReply is the reply to ClaimRequest.
type ClaimReply struct {
	State ClaimState `cbor:"1,keyasint"`
	// Response is the recorded response of a finished call, or nil if none was stored.
	Response *Response `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*ClaimReply) Kind() Kind { return KindClaimReply }

// FinishRequest records the outcome of a claimed call. The verdict NotRun releases the
// claim, so that the key can be claimed again. The reply is FinishReply or Failure.
type FinishRequest struct {
	Workspace string    `cbor:"1,keyasint"`
	Key       string    `cbor:"2,keyasint"`
	Attempt   AttemptID `cbor:"3,keyasint"`
	Verdict   uint8     `cbor:"4,keyasint"`
	Response  *Response `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*FinishRequest) Kind() Kind { return KindFinishRequest }

// FinishReply confirms that the outcome is committed.
type FinishReply struct{}

// Kind implements Message.
func (*FinishReply) Kind() Kind { return KindFinishReply }

// OrderQuery asks the leader for the current order to an upstream. The reply is
// OrderAnswer or Failure.
type OrderQuery struct {
	Upstream string `cbor:"1,keyasint"`
	Pool     string `cbor:"2,keyasint"`
	// Nonce is a random number that is used once. The reply contains it too.
	Nonce [16]byte `cbor:"3,keyasint"`
	// HighestFencingToken is the highest fencing token that the agent has seen.
	HighestFencingToken uint64 `cbor:"4,keyasint"`
	// Group is the group of ranks that the upstream belongs to; empty if none.
	Group string `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*OrderQuery) Kind() Kind { return KindOrderQuery }

// Order tells an engine which model to serve.
type Order struct {
	Model    string   `cbor:"1,keyasint"`
	Version  string   `cbor:"2,keyasint"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
	Role     string   `cbor:"4,keyasint,omitempty"`
	// ChecksFencing is set if the engine itself rejects orders with an outdated fencing token.
	ChecksFencing bool `cbor:"5,keyasint,omitempty"`
	// Group is the shape of the upstream's group, or nil if the service document has none.
	Group *GroupShape `cbor:"6,keyasint,omitempty"`
}

// GroupShape describes a group of ranks, as configured in a service document.
type GroupShape struct {
	Ranks        uint32 `cbor:"1,keyasint"`
	Experts      uint32 `cbor:"2,keyasint"`
	Layers       uint32 `cbor:"3,keyasint"`
	SlotsPerRank uint32 `cbor:"4,keyasint"`
	// SkewWeight and RebalanceWeight weigh the cost of uneven load and the cost of moving
	// experts against each other.
	SkewWeight      float64 `cbor:"5,keyasint"`
	RebalanceWeight float64 `cbor:"6,keyasint"`
	// MaxNewPerSet is the maximum number of experts of one layer that a single change may add to a
	// rank; 0 means no limit.
	MaxNewPerSet uint32 `cbor:"7,keyasint,omitempty"`
	// CopyUS is how long a rank takes to copy an expert, in microseconds; 0 if unknown.
	CopyUS uint32 `cbor:"8,keyasint,omitempty"`
}

// OrderAnswer is the reply to OrderQuery. The leader creates it after a quorum confirmed its
// leadership in a round that started after the query arrived.
type OrderAnswer struct {
	Nonce [16]byte `cbor:"1,keyasint"`
	// FencingToken is the fencing token. It never decreases.
	FencingToken uint64 `cbor:"2,keyasint"`
	// Order is nil if no service document contains the pool.
	Order *Order `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*OrderAnswer) Kind() Kind { return KindOrderAnswer }

// Join asks the leader to add a replica with a new disk. The reply is Ack or Failure.
type Join struct {
	Host    string `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*Join) Kind() Kind { return KindJoin }

// ReadQuery asks the leader for the log index that must be applied before a linearizable
// read. The reply is ReadAnswer or Failure.
type ReadQuery struct{}

// Kind implements Message.
func (*ReadQuery) Kind() Kind { return KindReadQuery }

// ReadAnswer is the reply to ReadQuery. The leader sends it after a quorum confirmed its
// leadership in a round that started after the query arrived.
type ReadAnswer struct {
	Index uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*ReadAnswer) Kind() Kind { return KindReadAnswer }

// StatusQuery asks a control host for the state of its cluster. The reply is StatusAnswer.
type StatusQuery struct{}

// Kind implements Message.
func (*StatusQuery) Kind() Kind { return KindStatusQuery }

// StatusAnswer describes a control host and its view of the cluster.
type StatusAnswer struct {
	// ClusterID is empty on a host that does not belong to a cluster.
	ClusterID string   `cbor:"1,keyasint,omitempty"`
	Replica   string   `cbor:"2,keyasint"`
	Leader    string   `cbor:"3,keyasint,omitempty"`
	Term      uint64   `cbor:"4,keyasint"`
	Commit    uint64   `cbor:"5,keyasint"`
	Applied   uint64   `cbor:"6,keyasint"`
	Voters    []string `cbor:"7,keyasint,omitempty"`
	Learners  []string `cbor:"8,keyasint,omitempty"`
	// Hosts contains the latest reports of the revisions that hosts use.
	Hosts []ActiveRevision `cbor:"9,keyasint,omitempty" independent:"true"`
}

// Kind implements Message.
func (*StatusAnswer) Kind() Kind { return KindStatusAnswer }
