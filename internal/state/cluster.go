package state

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// VoterAddress tells where a replica of the log is reached.
type VoterAddress struct {
	Replica consensus.ReplicaID `cbor:"1,keyasint"`
	Host    string              `cbor:"2,keyasint"`
	Address string              `cbor:"3,keyasint"`
}

// Cluster is what the tables know of the cluster.
type Cluster struct {
	// ID is empty until Init.
	ID         string
	Membership consensus.Membership
	// Addresses are in the order of the replicas' names.
	Addresses []VoterAddress
}

// cluster is the table of the cluster's identity.
type cluster struct {
	// mu guards all below.
	mu         sync.RWMutex
	id         string
	membership consensus.Membership
	addresses  map[consensus.ReplicaID]VoterAddress
}

func (c *cluster) init() { c.addresses = map[consensus.ReplicaID]VoterAddress{} }

// setID sets the identity once.
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

// setMembership replaces the membership and forgets the addresses of replicas
// that left it. A replica that has yet to join keeps its address.
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

// sortedAddresses returns the addresses by replica. The caller holds mu.
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

// restore replaces the table. The caller holds mu.
func (c *cluster) restore(id string, members consensus.Membership, addresses []VoterAddress) {
	c.id = id
	c.membership = members
	c.addresses = map[consensus.ReplicaID]VoterAddress{}
	for _, a := range addresses {
		c.addresses[a.Replica] = a
	}
}

// Cluster returns what the tables know of the cluster.
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
