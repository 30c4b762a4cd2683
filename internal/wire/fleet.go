package wire

import (
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
)

// Kinds of the messages by which control hosts tell the others of upstreams,
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
)

// Attach asks a control host for all that it knows, and for what changes from then on:
// Upstreams, ConfigurationNotice and Hosts, and Suspicions where the role serves callers.
type Attach struct {
	// Role is "entry", "agent", or "callers" for an entry host that wants Suspicions only.
	Role string `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Attach) Kind() Kind { return KindAttach }

// Upstreams tells what has changed of upstreams. As a call it is answered by Ack once
// it is in force at the receiver.
type Upstreams struct {
	All []registry.Upstream `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Upstreams) Kind() Kind { return KindUpstreams }

// ConfigurationNotice tells the number of the configuration that the sender holds.
type ConfigurationNotice struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*ConfigurationNotice) Kind() Kind { return KindConfigurationNotice }

// ConfigurationQuery asks for the configuration. The reply is ConfigurationAnswer or
// Failure.
type ConfigurationQuery struct {
	// NewerThan is the number that the sender holds; the data comes only where the present
	// one is higher.
	NewerThan uint64 `cbor:"1,keyasint"`
	// Linearizable asks for the newest one accepted anywhere, as a quorum confirms.
	Linearizable bool `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*ConfigurationQuery) Kind() Kind { return KindConfigurationQuery }

// ConfigurationAnswer answers a ConfigurationQuery.
type ConfigurationAnswer struct {
	Number uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*ConfigurationAnswer) Kind() Kind { return KindConfigurationAnswer }

// EngineLoad is what an agent reads at its engine. Agents send it to one control host,
// which passes it on with those of the others.
type EngineLoad struct {
	// Address is that of the upstream.
	Address string `cbor:"1,keyasint"`
	// IsOpen tells that the engine's group serves.
	IsOpen bool `cbor:"2,keyasint,omitempty"`
	// Running and Waiting are the requests at the engine.
	Running int `cbor:"3,keyasint,omitempty"`
	Waiting int `cbor:"4,keyasint,omitempty"`
	// Pace is the engine's time for a step over its usual one, 0 if it is not known.
	Pace float64 `cbor:"5,keyasint,omitempty"`
	// Group and Epoch name the group of ranks in which the engine serves; empty if none.
	Group string `cbor:"6,keyasint,omitempty"`
	Epoch uint64 `cbor:"7,keyasint,omitempty"`
	// Born is the incarnation's start in Unix milliseconds, 0 where it does not say.
	Born int64 `cbor:"8,keyasint,omitempty"`
	// Rank is the engine's place in the group.
	Rank uint32 `cbor:"9,keyasint,omitempty"`
	// IsStalled tells that the group makes no step although it has work. It is open as far
	// as the engine knows, and may go on at any moment.
	IsStalled bool `cbor:"10,keyasint,omitempty"`
	// Number is the one that a control host gives to the engine.
	Number uint64 `cbor:"11,keyasint,omitempty"`
}

// Kind implements Message.
func (*EngineLoad) Kind() Kind { return KindEngineLoad }

// EngineLoads passes on the loads that have come since the last such message.
type EngineLoads struct {
	// All are whole records. Brief are loads of engines whose record is known to the
	// receiver, as package engineload writes them.
	All          []EngineLoad `cbor:"1,keyasint,omitempty"`
	CompactLoads []byte       `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*EngineLoads) Kind() Kind { return KindEngineLoads }

// Hosts tells which hosts of the system the sender knows.
type Hosts struct {
	// Control are the peer addresses of control hosts.
	Control []string `cbor:"1,keyasint,omitempty"`
	// EntryHosts is how many entry hosts are attached to the sender.
	EntryHosts int `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Hosts) Kind() Kind { return KindHosts }

// Suspicions tells of requests under which upstreams ended: between entry hosts and control
// hosts both ways, and among control hosts. It may come in any order and again.
type Suspicions struct {
	All []quarantine.Suspicion `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Suspicions) Kind() Kind { return KindSuspicions }
