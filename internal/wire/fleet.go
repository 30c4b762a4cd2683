package wire

import (
	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
)

// Lists with the tag "independent" lose only the elements that can't be encoded or decoded, see independentTag.

// Kinds of the messages with which control hosts inform other hosts about upstreams,
// configurations and hosts.
const (
	KindAttach              Kind = 90
	KindUpstreams           Kind = 91
	KindConfigurationNotice Kind = 92
	KindConfigurationQuery  Kind = 93
	KindConfigurationAnswer Kind = 94
	KindHosts               Kind = 95
	KindEngineLoad          Kind = 96
	KindEngineLoads         Kind = 97
	KindSuspicions          Kind = 98
	KindNotices             Kind = 99
	KindTokenRequest        Kind = 100
	KindTokens              Kind = 101
	KindEvacuations         Kind = 102
	KindRetryRequest        Kind = 103
	KindRetries             Kind = 104
)

// Attach asks a control host to send its state and all later changes, as Upstreams,
// ConfigurationNotice and Hosts. Hosts that serve callers also receive Suspicions, Evacuations and
// Notices.
type Attach struct {
	// Role is "entry", "agent", or "callers" for an entry host that only wants
	// Suspicions and Evacuations.
	Role string `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Attach) Kind() Kind { return KindAttach }

// Upstreams carries the records of upstreams that have changed, and departures: between control hosts
// all of them, to other hosts those of which the incarnation is not known. If it is sent as a call, the
// receiver replies with Ack when, as an entry host, it uses the records, or when, as a control host, it
// has saved the departures on its disk.
//
// With Leaving it is a question instead, which changes nothing. The reply has the departure of the
// incarnation that the receiver knows, or is Ack or Failure.
type Upstreams struct {
	All        []registry.Upstream  `cbor:"1,keyasint" independent:"true"`
	Departures []registry.Departure `cbor:"2,keyasint,omitempty" independent:"true"`
	// Leaving is the ID of an upstream that leaves by a call without its start time.
	Leaving string `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*Upstreams) Kind() Kind { return KindUpstreams }

// SavedDepartures is a list of departures on the disk of a control host.
type SavedDepartures struct {
	All []registry.Departure `cbor:"1,keyasint" independent:"true"`
	// SavedAt is when the list was saved, in Unix milliseconds.
	SavedAt int64 `cbor:"2,keyasint"`
}

// ConfigurationNotice announces the number of the configuration that the sender has.
type ConfigurationNotice struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*ConfigurationNotice) Kind() Kind { return KindConfigurationNotice }

// ConfigurationQuery asks for the configuration. The reply is ConfigurationAnswer or
// Failure.
type ConfigurationQuery struct {
	// NewerThan is the number of the configuration that the sender has. The reply contains
	// data only if the current number is higher.
	NewerThan uint64 `cbor:"1,keyasint"`
	// Linearizable asks for the newest accepted configuration, as confirmed by a quorum.
	Linearizable bool `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*ConfigurationQuery) Kind() Kind { return KindConfigurationQuery }

// ConfigurationAnswer is the reply to ConfigurationQuery.
type ConfigurationAnswer struct {
	Number uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint,omitempty"`
	// Evacuations is what the sender knew at the read that returned the configuration; nil if no
	// data centre was ever evacuated.
	Evacuations *Evacuations `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*ConfigurationAnswer) Kind() Kind { return KindConfigurationAnswer }

// EngineLoad is the load of an engine as read by its agent. Each agent sends it to one
// control host, which forwards the loads of all agents in EngineLoads.
type EngineLoad struct {
	// Address is the address of the upstream.
	Address string `cbor:"1,keyasint"`
	// IsOpen is set if the engine's group accepts requests.
	IsOpen bool `cbor:"2,keyasint,omitempty"`
	// Running and Waiting are the numbers of running and queued requests at the engine.
	Running int `cbor:"3,keyasint,omitempty"`
	Waiting int `cbor:"4,keyasint,omitempty"`
	// Slowdown is the slowdown of the engine: its step time divided by its usual step time, or 0
	// if unknown.
	Slowdown float64 `cbor:"5,keyasint,omitempty"`
	// Group and Epoch identify the group of ranks that the engine belongs to; empty if none.
	Group string `cbor:"6,keyasint,omitempty"`
	Epoch uint64 `cbor:"7,keyasint,omitempty"`
	// StartedAt is the start time of the incarnation in Unix milliseconds, 0 if unknown.
	StartedAt int64 `cbor:"8,keyasint,omitempty"`
	// Rank is the engine's rank in the group.
	Rank uint32 `cbor:"9,keyasint,omitempty"`
	// IsStalled is set if the group makes no steps although it has work. The engine still
	// considers the group open, and the group may continue at any moment.
	IsStalled bool `cbor:"10,keyasint,omitempty"`
	// Number is the number that the control host has assigned to the engine. It identifies
	// the engine in compact loads.
	Number uint64 `cbor:"11,keyasint,omitempty"`
}

// Kind implements Message.
func (*EngineLoad) Kind() Kind { return KindEngineLoad }

// EngineLoads forwards the loads that arrived since the previous EngineLoads. A control host
// sends it to entry hosts, and as a call to the control host that relays it to the entry hosts
// of another data centre. That one replies with Ack, or with Failure if it lacks full records.
type EngineLoads struct {
	// FullRecords contains full records. CompactLoads contains the loads of engines whose full
	// record the receiver already has, in the encoding of package engineload.
	FullRecords  []EngineLoad `cbor:"1,keyasint,omitempty" independent:"true"`
	CompactLoads []byte       `cbor:"2,keyasint,omitempty"`
	// UnchangedLoads contains the engines whose load is the same as in the previous EngineLoads,
	// in the encoding of package engineload.
	UnchangedLoads []byte `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*EngineLoads) Kind() Kind { return KindEngineLoads }

// ServiceDemand is what callers ask of a service.
type ServiceDemand struct {
	Service string `cbor:"1,keyasint"`
	// PerSecond is the number of arriving requests a second that can still be on time.
	PerSecond float64 `cbor:"2,keyasint"`
}

// Hosts announces the hosts of the system that the sender knows, and the demand at entry hosts.
type Hosts struct {
	// ControlHosts contains the peer addresses of control hosts.
	ControlHosts []string `cbor:"1,keyasint,omitempty" independent:"true"`
	// EntryHosts is the number of entry hosts attached to the sender.
	EntryHosts int `cbor:"2,keyasint,omitempty"`
	// Demands is the demand at the sender, if it is an entry host, else the sum of the demands at the
	// entry hosts that are attached to the sender.
	Demands []ServiceDemand `cbor:"3,keyasint,omitempty" independent:"true"`
}

// Kind implements Message.
func (*Hosts) Kind() Kind { return KindHosts }

// Suspicions reports requests during which upstreams crashed. Entry hosts and control hosts
// send it to each other, and control hosts among themselves. Entry hosts and the agents of
// upstreams that announce themselves to entry hosts send it to each other too. Receivers must
// accept it in any order and repeatedly.
type Suspicions struct {
	All []quarantine.Suspicion `cbor:"1,keyasint" independent:"true"`
}

// Kind implements Message.
func (*Suspicions) Kind() Kind { return KindSuspicions }

// Notices reports what upstreams have stated about themselves. Entry hosts send it to the control
// hosts, and these send it to all other entry hosts. Receivers must accept it in any order and
// repeatedly.
type Notices struct {
	All []backpressure.Notice `cbor:"1,keyasint" independent:"true"`
}

// Kind implements Message.
func (*Notices) Kind() Kind { return KindNotices }

// TokenRequest asks the leading control host for tokens of an upstream that has a rate limit. The
// reply is Tokens or Failure.
type TokenRequest struct {
	// Notice says which limit the sender knows.
	Notice backpressure.Notice `cbor:"1,keyasint"`
	// Count is how many tokens the sender could use now.
	Count int `cbor:"2,keyasint"`
	// ColdRate is set if the upstream is cold: the rate at which tokens may be handed out to all
	// hosts together, in requests per second.
	ColdRate float64 `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*TokenRequest) Kind() Kind { return KindTokenRequest }

// Tokens hands out tokens. Each permits one request.
type Tokens struct {
	// WaitsMS holds for each token how long the receiver must wait before it uses the token.
	WaitsMS []int64 `cbor:"1,keyasint,omitempty"`
	// AgainMS is how long the receiver must wait before it asks for tokens of the same upstream
	// again.
	AgainMS int64 `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Tokens) Kind() Kind { return KindTokens }

// Evacuations lists the data centres whose upstreams get no new requests. If it is sent as a call,
// the receiver replies with Ack when the list, or a later one, is in use.
type Evacuations struct {
	// Index is the index of the log entry with the last change of the list. A receiver ignores a
	// list with a lower index than the one that it has.
	Index uint64 `cbor:"1,keyasint"`
	// DataCentres is in ascending order.
	DataCentres []string `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Evacuations) Kind() Kind { return KindEvacuations }

// RetryRequest asks the leading control host for retries of a service beyond those that the sender's own
// requests pay for. The reply is Retries or Failure.
type RetryRequest struct {
	Service string `cbor:"1,keyasint"`
	// Count is how many retries the sender could send now.
	Count int `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*RetryRequest) Kind() Kind { return KindRetryRequest }

// Retries grants retries of a service. They end retrybudget.Lifetime after they were asked for.
type Retries struct {
	Count int `cbor:"1,keyasint,omitempty"`
	// AgainMS is how long the receiver must wait before it asks for retries of the same service again.
	AgainMS int64 `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Retries) Kind() Kind { return KindRetries }
