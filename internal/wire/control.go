package wire

// Kinds of the messages to and between control hosts.
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

// ConsensusPart carries one piece of an encoded consensus.Message that is too long to
// travel at once. The pieces of a message are sent in order.
type ConsensusPart struct {
	To string `cbor:"1,keyasint"`
	// Message numbers the divided messages of the sender.
	Message uint64 `cbor:"2,keyasint"`
	// Index counts the pieces from 0; there are Count.
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

// Watch asks a host for the documents above the revisions that the sender
// holds, and for later ones as they come. The reply and what follows are Changes.
type Watch struct {
	// Since is the highest revision that the sender holds.
	Since uint64 `cbor:"1,keyasint"`
	// CurrentOnly asks for the present documents only.
	CurrentOnly bool `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Watch) Kind() Kind { return KindWatch }

// Changes carries documents in rising order of revision.
type Changes struct {
	Documents []Document `cbor:"1,keyasint,omitempty"`
	// Revision is the highest revision that the sender holds.
	Revision uint64 `cbor:"2,keyasint"`
	// Linearizable tells that the sender asked a quorum before it answered.
	Linearizable bool `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*Changes) Kind() Kind { return KindChanges }

// ActiveRevision tells which revision one host serves by.
type ActiveRevision struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Role       string `cbor:"3,keyasint"`
	// Revision is the highest revision that is in force on the host.
	Revision uint64 `cbor:"4,keyasint"`
	// AgeMS is how long ago the host said so.
	AgeMS uint64 `cbor:"5,keyasint,omitempty"`
}

// InForce reports to control hosts what is in force.
type InForce struct {
	Hosts []ActiveRevision `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*InForce) Kind() Kind { return KindInForce }

// ClaimState is the state of the claim on a non-idempotent call.
type ClaimState uint8

const (
	// ClaimGranted lets the asking attempt dispatch once.
	ClaimGranted ClaimState = iota + 1
	// ClaimInProgress means that another attempt holds the claim.
	ClaimInProgress
	// ClaimFinished means that the call ran; Answer holds what it said, if recorded.
	ClaimFinished
	// ClaimUnknown means that the call may have run and never runs again.
	ClaimUnknown
	// ClaimKeyReused means that the key belongs to a request with another digest.
	ClaimKeyReused
	// ClaimRefused means that the workspace holds too many claims; nothing ran.
	ClaimRefused
)

// ClaimRequest asks for the right to dispatch one non-idempotent call. The reply
// is ClaimReply or Failure.
type ClaimRequest struct {
	Workspace string    `cbor:"1,keyasint"`
	Key       string    `cbor:"2,keyasint"`
	Digest    [32]byte  `cbor:"3,keyasint"`
	Attempt   AttemptID `cbor:"4,keyasint"`
	// TimeoutMS is how long the call may take before its outcome counts as unknown.
	TimeoutMS uint64 `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*ClaimRequest) Kind() Kind { return KindClaimRequest }

// Answer is a recorded answer.
type Answer struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	State ClaimState `cbor:"1,keyasint"`
	// Answer is the recorded answer of a finished call, nil where none was kept.
	Answer *Answer `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*ClaimReply) Kind() Kind { return KindClaimReply }

// FinishRequest records the outcome of a claimed call. Verdict NotRun frees the key.
type FinishRequest struct {
	Workspace string    `cbor:"1,keyasint"`
	Key       string    `cbor:"2,keyasint"`
	Attempt   AttemptID `cbor:"3,keyasint"`
	Verdict   uint8     `cbor:"4,keyasint"`
	Answer    *Answer   `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*FinishRequest) Kind() Kind { return KindFinishRequest }

// FinishReply tells that the outcome is committed.
type FinishReply struct{}

// Kind implements Message.
func (*FinishReply) Kind() Kind { return KindFinishReply }

// OrderQuery asks the leader for the present order to an upstream. The reply is
// OrderAnswer or Failure.
type OrderQuery struct {
	Upstream string `cbor:"1,keyasint"`
	Pool     string `cbor:"2,keyasint"`
	// Nonce comes back in the answer; it is used once.
	Nonce [16]byte `cbor:"3,keyasint"`
	// HighestFencingToken is the highest fencing number that the agent has seen.
	HighestFencingToken uint64 `cbor:"4,keyasint"`
	// Group is the group of ranks that the upstream belongs to, empty if none.
	Group string `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*OrderQuery) Kind() Kind { return KindOrderQuery }

// Order tells an engine what to serve.
type Order struct {
	Model    string   `cbor:"1,keyasint"`
	Version  string   `cbor:"2,keyasint"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
	Role     string   `cbor:"4,keyasint,omitempty"`
	// ChecksFencing tells that the engine refuses an old fencing number by itself.
	ChecksFencing bool `cbor:"5,keyasint,omitempty"`
	// Group is the shape of the asking upstream's group, nil if the document has none.
	Group *GroupShape `cbor:"6,keyasint,omitempty"`
}

// GroupShape is what a document says of a group of ranks.
type GroupShape struct {
	Ranks        uint32 `cbor:"1,keyasint"`
	Experts      uint32 `cbor:"2,keyasint"`
	Layers       uint32 `cbor:"3,keyasint"`
	SlotsPerRank uint32 `cbor:"4,keyasint"`
	// SkewWeight and RebalanceWeight are what skew and moves weigh against each other.
	SkewWeight      float64 `cbor:"5,keyasint"`
	RebalanceWeight float64 `cbor:"6,keyasint"`
	// Spare bounds the experts of a layer that are new to a rank in one change; 0 is no
	// bound.
	Spare uint32 `cbor:"7,keyasint,omitempty"`
	// CopyUS is how long a rank takes to copy an expert, in microseconds; 0 if not known.
	CopyUS uint32 `cbor:"8,keyasint,omitempty"`
}

// OrderAnswer answers an OrderQuery. The leader made it after a quorum round that
// began after the question came in.
type OrderAnswer struct {
	Nonce [16]byte `cbor:"1,keyasint"`
	// Fence is the fencing number: it never falls.
	Fence uint64 `cbor:"2,keyasint"`
	// Order is nil where no document names the pool.
	Order *Order `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*OrderAnswer) Kind() Kind { return KindOrderAnswer }

// Join asks the leader to add a replica whose disk is new. The reply is Ack or Failure.
type Join struct {
	Host    string `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*Join) Kind() Kind { return KindJoin }

// ReadQuery asks the leader for the log index up to which a read has to see. The
// reply is ReadAnswer or Failure.
type ReadQuery struct{}

// Kind implements Message.
func (*ReadQuery) Kind() Kind { return KindReadQuery }

// ReadAnswer answers a ReadQuery, after a quorum round that began after it came in.
type ReadAnswer struct {
	Index uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*ReadAnswer) Kind() Kind { return KindReadAnswer }

// StatusQuery asks a control host what it knows of its cluster. The reply is StatusAnswer.
type StatusQuery struct{}

// Kind implements Message.
func (*StatusQuery) Kind() Kind { return KindStatusQuery }

// StatusAnswer describes a control host.
type StatusAnswer struct {
	// ClusterID is empty on a host that knows no cluster.
	ClusterID string   `cbor:"1,keyasint,omitempty"`
	Replica   string   `cbor:"2,keyasint"`
	Leader    string   `cbor:"3,keyasint,omitempty"`
	Term      uint64   `cbor:"4,keyasint"`
	Commit    uint64   `cbor:"5,keyasint"`
	Applied   uint64   `cbor:"6,keyasint"`
	Voters    []string `cbor:"7,keyasint,omitempty"`
	Learners  []string `cbor:"8,keyasint,omitempty"`
	// Hosts is what this control host has heard about revisions in force.
	Hosts []ActiveRevision `cbor:"9,keyasint,omitempty"`
}

// Kind implements Message.
func (*StatusAnswer) Kind() Kind { return KindStatusAnswer }
