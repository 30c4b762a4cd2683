package state

import "sync"

// MaxConfigurationBytes is the maximum length of an encoded configuration.
const MaxConfigurationBytes = 8 << 20

// Configuration is the routing configuration of the whole system. The tables store it
// without decoding it; the proposer has validated it.
type Configuration struct {
	// Number is chosen by the operator and never decreases: the configuration with the
	// highest accepted number is in force. Zero means that there is none.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Data is the configuration as it was submitted, byte for byte, in the proposer's
	// encoding.
	Data []byte `cbor:"2,keyasint,omitempty"`
}

// PutConfiguration replaces the configuration if its number is higher than the current
// one, so that applying it again has no effect.
type PutConfiguration struct {
	Number uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
	// Author and At go to the audit trail. At is the proposer's wall clock in Unix
	// milliseconds.
	Author string `cbor:"3,keyasint,omitempty"`
	At     int64  `cbor:"4,keyasint,omitempty"`
}

func (PutConfiguration) kind() commandKind { return kindPutConfiguration }

// ConfigurationResult is the result of PutConfiguration.
type ConfigurationResult struct {
	// Accepted is set if this command changed the configuration.
	Accepted bool `cbor:"1,keyasint,omitempty"`
	// Number is the number of the configuration in force.
	Number uint64 `cbor:"2,keyasint"`
}

// configuration is the table of the configuration in force.
type configuration struct {
	// mu guards the fields below.
	mu      sync.RWMutex
	current Configuration
	// changed is closed and replaced whenever the configuration changes.
	changed chan struct{}
}

func (c *configuration) init() { c.changed = make(chan struct{}) }

// put replaces the configuration if the number is higher.
func (c *configuration) put(p PutConfiguration) ConfigurationResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Number <= c.current.Number {
		return ConfigurationResult{Number: c.current.Number}
	}
	c.set(Configuration{Number: p.Number, Data: p.Data})
	return ConfigurationResult{Accepted: true, Number: p.Number}
}

// set replaces the configuration. The caller holds mu.
func (c *configuration) set(next Configuration) {
	c.current = next
	close(c.changed)
	c.changed = make(chan struct{})
}

// Configuration returns the configuration in force. Its data must not be changed.
func (m *Machine) Configuration() Configuration {
	m.configuration.mu.RLock()
	defer m.configuration.mu.RUnlock()
	return m.configuration.current
}

// ConfigurationChanged returns a channel that is closed when the configuration changes
// next. Call it before Configuration, so that no change is missed.
func (m *Machine) ConfigurationChanged() <-chan struct{} {
	m.configuration.mu.RLock()
	defer m.configuration.mu.RUnlock()
	return m.configuration.changed
}

// putConfiguration applies a PutConfiguration command. The caller holds applyMu.
func (m *Machine) putConfiguration(index uint64, c PutConfiguration) any {
	if c.Number == 0 || len(c.Author) > MaxNameBytes {
		return Rejected{Reason: ReasonInvalidName}
	}
	if len(c.Data) > MaxConfigurationBytes {
		return Rejected{Reason: ReasonTooLarge}
	}
	result := m.configuration.put(c)
	if result.Accepted {
		m.audit.add(AuditRecord{
			Index:       index,
			LogicalTime: m.LogicalTime(),
			At:          c.At,
			Author:      c.Author,
			Action:      ActionConfiguration,
			Outcome:     acceptedOrRefused(true),
			Revision:    c.Number,
		})
	}
	return result
}
