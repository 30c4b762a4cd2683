package control

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against a list of upstreams that is longer than a message, so that no host that attaches gets any of it.
func TestListLongerThanAMessageReachesHostsThatAttach(t *testing.T) {
	const upstreams = 22_000
	c := newTestCluster(t, 1, 0, nil)
	h := c.hosts[0]
	name := strings.Repeat("x", 250)
	for i := range upstreams {
		require.NoError(t, h.host.Announce(t.Context(), registry.Upstream{
			ID: fmt.Sprintf("%s%05d", name, i), Service: name, DataCentre: name, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 1, Sequence: 1, StartedAt: 1,
		}))
	}
	p := dialUnchecked(t, h)
	p.conn.SetReadLimit(2 * wire.MaxMessageBytes)
	p.send(0, &wire.Attach{Role: roleEntry})
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	for got := 0; got < upstreams; {
		_, data, err := p.conn.Read(ctx)
		require.NoError(t, err, "%d upstreams received", got)
		_, m, err := wire.Decode(data)
		require.NoError(t, err)
		switch m := m.(type) {
		case *wire.Ping:
			p.send(0, &wire.Ping{})
		case *wire.Upstreams:
			got += len(m.All)
		}
	}
}
