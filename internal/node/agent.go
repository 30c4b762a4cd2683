package node

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

// agentRole stands beside one engine.
type agentRole struct {
	n        *Node
	follower *follower
}

func (n *Node) buildAgent() (role, error) {
	n.openPool("")
	a := &agentRole{n: n, follower: newFollower(n, "agent")}
	a.follower.merge = func(string, []registry.Upstream) {}
	a.follower.configure = func(*routetable.Table) bool { return true }
	return a, nil
}

func (a *agentRole) run(ctx context.Context) error {
	a.follower.run(ctx)
	return nil
}

func (a *agentRole) drain(context.Context) {}
