package state

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// VoterAddress is the network address of a replica of the log.
type VoterAddress struct {
	Replica consensus.ReplicaID `cbor:"1,keyasint"`
	Host    string              `cbor:"2,keyasint"`
	Address string              `cbor:"3,keyasint"`
}

// Cluster describes the control cluster as the tables hold it.
type Cluster struct {
	// ID is empty until an Init command was applied.
	ID         string
	Membership consensus.Membership
	// Addresses are sorted by replica id.
	Addresses []VoterAddress
}

// cluster is the table of the cluster's id, its members and their addresses.
type cluster struct {
	// mu guards the fields below.
	mu         sync.RWMutex
	id         string
	membership consensus.Membership
	addresses  map[consensus.ReplicaID]VoterAddress
}

func (c *cluster) init() { c.addresses = map[consensus.ReplicaID]VoterAddress{} }

// setID sets the id of the cluster unless it has one.
func (c *cluster) setID(id string) InitResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id != "" {
		return InitResult{ClusterID: c.id}
	}
	c.id = id
	return InitResult{Accepted: true, ClusterID: id}
}

func (c *cluster) setAddress(a VoterAddress) VoterAddressResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.addresses[a.Replica] != a
	c.addresses[a.Replica] = a
	return VoterAddressResult{Changed: changed}
}

// setMembership replaces the membership and deletes the addresses of replicas that left
// it. The address of a replica that has not joined yet stays.
func (c *cluster) setMembership(members consensus.Membership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Concat(c.membership.Voters, c.membership.Learners) {
		if !members.IsVoter(id) && !members.IsLearner(id) {
			delete(c.addresses, id)
		}
	}
	c.membership = members.Clone()
}

// sortedAddresses returns the addresses sorted by replica id. The caller holds mu.
func (c *cluster) sortedAddresses() []VoterAddress {
	list := make([]VoterAddress, 0, len(c.addresses))
	for _, a := range c.addresses {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b VoterAddress) int {
		return strings.Compare(string(a.Replica), string(b.Replica))
	})
	return list
}

// restore replaces the table by that of a snapshot. The caller holds mu.
func (c *cluster) restore(id string, members consensus.Membership, addresses []VoterAddress) {
	c.id = id
	c.membership = members
	c.addresses = map[consensus.ReplicaID]VoterAddress{}
	for _, a := range addresses {
		c.addresses[a.Replica] = a
	}
}

// Cluster returns a copy of the cluster's id, membership and addresses.
func (m *Machine) Cluster() Cluster {
	m.cluster.mu.RLock()
	defer m.cluster.mu.RUnlock()
	return Cluster{
		ID:         m.cluster.id,
		Membership: m.cluster.membership.Clone(),
		Addresses:  m.cluster.sortedAddresses(),
	}
}

func describeMembership(members consensus.Membership) string {
	return fmt.Sprintf("voters %v, learners %v", members.Voters, members.Learners)
}
