package wire

// Kinds of the messages about the membership of upstreams and about shared limits.
const (
	KindAnnounce     Kind = 40
	KindAnnounceAck  Kind = 41
	KindSubscribe    Kind = 42
	KindDelta        Kind = 43
	KindDigestNotice Kind = 44
	KindDemand       Kind = 45
	KindGrant        Kind = 46
)

// UpstreamState says whether an upstream accepts new work.
type UpstreamState uint8

const (
	// UpstreamStarting means that the upstream accepts no work yet.
	UpstreamStarting UpstreamState = iota
	// UpstreamReady means that the upstream accepts work.
	UpstreamReady
	// UpstreamDraining means that the upstream accepts no new work and finishes running
	// requests.
	UpstreamDraining
)

// Load is an upstream's report about itself. It lags behind the actual load.
type Load struct {
	Running uint32 `cbor:"1,keyasint"`
	Queued  uint32 `cbor:"2,keyasint"`
	// Capacity is how many requests the agent runs concurrently at most.
	Capacity uint32 `cbor:"3,keyasint"`
	// FirstTokenUS is the recent mean time to the first token, in microseconds.
	FirstTokenUS uint64 `cbor:"4,keyasint,omitempty"`
	// TokensPerSecond is the recent number of tokens per second.
	TokensPerSecond float32 `cbor:"5,keyasint,omitempty"`
	// CacheFree is the free fraction of the prefix cache, 0 to 1.
	CacheFree float32 `cbor:"6,keyasint,omitempty"`
	// StepUS is the recent mean step time, in microseconds.
	StepUS uint64 `cbor:"7,keyasint,omitempty"`
	// AgeMS is the age of the report in milliseconds when the agent sent it.
	AgeMS uint32 `cbor:"8,keyasint,omitempty"`
}

// CacheEvent reports that an engine stored or evicted a prompt prefix. Events can arrive
// late, and some can be missing, which leaves gaps in Seq.
type CacheEvent struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Prefix uint64 `cbor:"2,keyasint"`
	Stored bool   `cbor:"3,keyasint,omitempty"`
}

// Upstream is the record of an upstream as announced by its agent.
type Upstream struct {
	// Name is the name of the upstream's host, which is unique within the data centre.
	Name       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is the agent's peer listener, "ip:port".
	Address string `cbor:"3,keyasint"`
	// Incarnation increases with each start of the agent, and Seq with each record of an
	// incarnation.
	Incarnation uint64        `cbor:"4,keyasint"`
	Seq         uint64        `cbor:"5,keyasint"`
	State       UpstreamState `cbor:"6,keyasint"`
	// Pool is the model pool or plain service that the upstream belongs to.
	Pool string `cbor:"7,keyasint"`
	// Version is the model version that the engine has loaded; empty if none.
	Version string `cbor:"8,keyasint,omitempty"`
	Role    string `cbor:"9,keyasint,omitempty"`
	Group   string `cbor:"10,keyasint,omitempty"`
	Load    Load   `cbor:"11,keyasint"`
	// FirstRank is the first rank of the group on the upstream's host, and Ranks the number
	// of ranks there.
	FirstRank uint32 `cbor:"12,keyasint,omitempty"`
	Ranks     uint32 `cbor:"13,keyasint,omitempty"`
}

// Announce sends the record of an agent's upstream to a directory host.
type Announce struct {
	Upstream Upstream     `cbor:"1,keyasint"`
	Events   []CacheEvent `cbor:"2,keyasint,omitempty"`
	// Standby is set if another directory host that owns the record forwards the load
	// reports.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*Announce) Kind() Kind { return KindAnnounce }

// AnnounceAck confirms that the directory host has stored the record.
type AnnounceAck struct {
	// Incarnation is the highest incarnation of the agent that the directory host knows. An
	// agent whose own incarnation is lower changes it to the next higher number.
	Incarnation uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*AnnounceAck) Kind() Kind { return KindAnnounceAck }

// Subscribe asks a directory host for its records and all later changes.
type Subscribe struct {
	// Since is the last version that the subscriber received from this incarnation of the
	// directory host; zero asks for all records.
	Since       uint64 `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Subscribe) Kind() Kind { return KindSubscribe }

// Delta carries changed records. Full is set if it contains all records, as in the reply to
// the first Subscribe.
type Delta struct {
	Incarnation uint64     `cbor:"1,keyasint"`
	Version     uint64     `cbor:"2,keyasint"`
	Full        bool       `cbor:"3,keyasint,omitempty"`
	Upserts     []Upstream `cbor:"4,keyasint,omitempty" independent:"true"`
	// Forgotten contains the names of upstreams whose records the directory host deleted.
	Forgotten []string `cbor:"5,keyasint,omitempty" independent:"true"`
	// Events contains the cache events of each upstream.
	Events []UpstreamEvents `cbor:"6,keyasint,omitempty" independent:"true"`
	// Loads contains the reports of upstreams whose records are otherwise unchanged.
	Loads []UpstreamLoad `cbor:"7,keyasint,omitempty" independent:"true"`
	// Silent contains the names of upstreams whose announcements stopped arriving, and
	// NoLongerSilent those whose announcements arrive again.
	Silent         []string `cbor:"8,keyasint,omitempty" independent:"true"`
	NoLongerSilent []string `cbor:"9,keyasint,omitempty" independent:"true"`
}

// UpstreamLoad is the load report of one upstream.
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

// DigestNotice announces the current version, so that a subscriber can detect that it missed
// a change.
type DigestNotice struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Version     uint64 `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*DigestNotice) Kind() Kind { return KindDigestNotice }

// LimitRates contains values for the three limits of a workspace: requests per second,
// tokens per second, and concurrent requests.
type LimitRates struct {
	Requests   float32 `cbor:"1,keyasint,omitempty"`
	Tokens     float32 `cbor:"2,keyasint,omitempty"`
	Concurrent float32 `cbor:"3,keyasint,omitempty"`
}

// DemandItem is an entry host's demand for the limits of one workspace, in addition to its
// floor, which is the share of the limits that it may use without a grant.
type DemandItem struct {
	// Workspace is the admission.Key of the workspace.
	Workspace uint64     `cbor:"1,keyasint"`
	Limit     LimitRates `cbor:"2,keyasint"`
	Wanted    LimitRates `cbor:"3,keyasint"`
	// Running is the number of requests above the floor that are running on the entry host.
	Running float32 `cbor:"4,keyasint,omitempty"`
}

// Demand is sent by an entry host to the host that owns the workspaces in Items.
type Demand struct {
	// Seq is repeated in the Grant.
	Seq   uint64       `cbor:"1,keyasint"`
	Items []DemandItem `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Demand) Kind() Kind { return KindDemand }

// GrantItem is what an entry host may use of a workspace's limits in addition to its floor,
// for the duration of one lease. It replaces the previous grant.
type GrantItem struct {
	Workspace uint64     `cbor:"1,keyasint"`
	Granted   LimitRates `cbor:"2,keyasint"`
}

// Grant is the reply to Demand, with an item for each demanded workspace.
type Grant struct {
	Seq   uint64      `cbor:"1,keyasint"`
	Items []GrantItem `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Grant) Kind() Kind { return KindGrant }
