package wire

// Kinds of the membership messages.
const (
	KindAnnounce     Kind = 40
	KindAnnounceAck  Kind = 41
	KindSubscribe    Kind = 42
	KindDelta        Kind = 43
	KindDigestNotice Kind = 44
	KindDemand       Kind = 45
	KindGrant        Kind = 46
)

// UpstreamState is what an agent says about taking new work.
type UpstreamState uint8

const (
	// UpstreamStarting takes no work yet.
	UpstreamStarting UpstreamState = iota
	// UpstreamReady takes work.
	UpstreamReady
	// UpstreamDraining takes no new work and ends what runs.
	UpstreamDraining
)

// Load is an upstream's report about itself. It lags.
type Load struct {
	Running uint32 `cbor:"1,keyasint"`
	Queued  uint32 `cbor:"2,keyasint"`
	// Capacity is how many requests the agent lets run at once.
	Capacity uint32 `cbor:"3,keyasint"`
	// FirstTokenUS is the recent mean time to the first token, in microseconds.
	FirstTokenUS uint64 `cbor:"4,keyasint,omitempty"`
	// Tokens is the recent rate of tokens a second.
	Tokens float32 `cbor:"5,keyasint,omitempty"`
	// CacheFree is the free share of prefix cache, 0 to 1.
	CacheFree float32 `cbor:"6,keyasint,omitempty"`
	// StepUS is the recent mean step time, in microseconds.
	StepUS uint64 `cbor:"7,keyasint,omitempty"`
	// AgeMS is how old the report was when the agent sent it.
	AgeMS uint32 `cbor:"8,keyasint,omitempty"`
}

// CacheEvent tells that an engine stored or dropped a prompt prefix. Events come
// late and with gaps in Seq.
type CacheEvent struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Prefix uint64 `cbor:"2,keyasint"`
	Stored bool   `cbor:"3,keyasint,omitempty"`
}

// Upstream is one upstream as its agent announces it.
type Upstream struct {
	// Name is unique within the data centre: the upstream host's name.
	Name       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is the agent's peer listener, "ip:port".
	Address string `cbor:"3,keyasint"`
	// Incarnation orders the starts of the agent; Seq the records of one start.
	Incarnation uint64        `cbor:"4,keyasint"`
	Seq         uint64        `cbor:"5,keyasint"`
	State       UpstreamState `cbor:"6,keyasint"`
	// Pool is the model pool or plain service that the upstream belongs to.
	Pool string `cbor:"7,keyasint"`
	// Version is what the engine has loaded, empty if none.
	Version string `cbor:"8,keyasint,omitempty"`
	Role    string `cbor:"9,keyasint,omitempty"`
	Group   string `cbor:"10,keyasint,omitempty"`
	Load    Load   `cbor:"11,keyasint"`
	// FirstRank and Ranks say which ranks of the group the upstream's host serves.
	FirstRank uint32 `cbor:"12,keyasint,omitempty"`
	Ranks     uint32 `cbor:"13,keyasint,omitempty"`
}

// Announce carries an agent's record to a directory host.
type Announce struct {
	Upstream Upstream     `cbor:"1,keyasint"`
	Events   []CacheEvent `cbor:"2,keyasint,omitempty"`
	// Standby tells that another owner passes on the load reports.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*Announce) Kind() Kind { return KindAnnounce }

// AnnounceAck tells the agent that the directory host holds its record.
type AnnounceAck struct {
	// Incarnation is the highest start of the agent that the directory host knows.
	// An agent that sees a higher one than its own takes the next.
	Incarnation uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*AnnounceAck) Kind() Kind { return KindAnnounceAck }

// Subscribe asks a directory host for its records and the changes after them.
type Subscribe struct {
	// Since is the last version that the subscriber holds of this directory
	// incarnation; zero asks for all.
	Since       uint64 `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Subscribe) Kind() Kind { return KindSubscribe }

// Delta carries records that changed. Full marks the answer to a first Subscribe.
type Delta struct {
	Incarnation uint64     `cbor:"1,keyasint"`
	Version     uint64     `cbor:"2,keyasint"`
	Full        bool       `cbor:"3,keyasint,omitempty"`
	Upserts     []Upstream `cbor:"4,keyasint,omitempty"`
	// Forgotten names upstreams that the directory host no longer holds.
	Forgotten []string `cbor:"5,keyasint,omitempty"`
	// Events are cache events by upstream.
	Events []UpstreamEvents `cbor:"6,keyasint,omitempty"`
	// Loads are reports of upstreams whose records are otherwise unchanged.
	Loads []UpstreamLoad `cbor:"7,keyasint,omitempty"`
	// Silent and Heard name upstreams that the directory host stopped, or began
	// again, to hear from.
	Silent         []string `cbor:"8,keyasint,omitempty"`
	NoLongerSilent []string `cbor:"9,keyasint,omitempty"`
}

// UpstreamLoad is a load report by upstream.
type UpstreamLoad struct {
	Name string `cbor:"1,keyasint"`
	Load Load   `cbor:"2,keyasint"`
}

// UpstreamEvents are the cache events of one upstream.
type UpstreamEvents struct {
	Name   string       `cbor:"1,keyasint"`
	Events []CacheEvent `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Delta) Kind() Kind { return KindDelta }

// DigestNotice lets a subscriber notice that it missed a change.
type DigestNotice struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Version     uint64 `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*DigestNotice) Kind() Kind { return KindDigestNotice }

// LimitRates are values of the three limits of a workspace: requests and tokens a
// second, and requests at once.
type LimitRates struct {
	Requests   float32 `cbor:"1,keyasint,omitempty"`
	Tokens     float32 `cbor:"2,keyasint,omitempty"`
	Concurrent float32 `cbor:"3,keyasint,omitempty"`
}

// DemandItem is what an entry host wants of one limited workspace beyond the part
// that it has without asking.
type DemandItem struct {
	// Workspace is admission.Key of the workspace.
	Workspace uint64     `cbor:"1,keyasint"`
	Limit     LimitRates `cbor:"2,keyasint"`
	Wanted    LimitRates `cbor:"3,keyasint"`
	// Running is how many requests above that part run there now.
	Running float32 `cbor:"4,keyasint,omitempty"`
}

// Demand goes from an entry host to the owner of the workspaces in it.
type Demand struct {
	// Seq comes back in the Grant.
	Seq   uint64       `cbor:"1,keyasint"`
	Items []DemandItem `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Demand) Kind() Kind { return KindDemand }

// GrantItem is what an entry host gets beyond the part that it has without asking,
// for one lease. It replaces what was granted before.
type GrantItem struct {
	Workspace uint64     `cbor:"1,keyasint"`
	Granted   LimitRates `cbor:"2,keyasint"`
}

// Grant answers a Demand, item by item.
type Grant struct {
	Seq   uint64      `cbor:"1,keyasint"`
	Items []GrantItem `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Grant) Kind() Kind { return KindGrant }
