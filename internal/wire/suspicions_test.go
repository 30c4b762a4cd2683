package wire

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/quarantine"
)

// Guards against suspicions of parts that lose the request that had the part on the way, and against
// those of requests that grow by an empty one.
func TestCarrierIsSentWithPartsOnly(t *testing.T) {
	request := quarantine.Suspicion{Fingerprint: quarantine.Fingerprint{1}, Incarnation: quarantine.Incarnation{Upstream: "u"}}
	part := request
	part.Carrier = quarantine.Fingerprint{2}
	sizes := map[bool]int{}
	for isPart, s := range map[bool]quarantine.Suspicion{false: request, true: part} {
		data, err := Encode(0, false, &Suspicions{All: []quarantine.Suspicion{s}})
		require.NoError(t, err)
		_, m, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, &Suspicions{All: []quarantine.Suspicion{s}}, m)
		sizes[isPart] = len(data)
	}
	require.GreaterOrEqual(t, sizes[true]-sizes[false], len(part.Carrier))
}

// Guards against a request id of a caller that makes the suspicions of a host unreadable for all others: an id
// that is not UTF-8, or one that is cut within a character.
func TestSuspicionOfAnyRequestIDIsDecoded(t *testing.T) {
	for _, id := range []string{"9c41d07be2a35f68", "a\xff\xfe", strings.Repeat("\xff-", 200), strings.Repeat("a", 63) + "ö", "\xc3\x28", "", "größe", "a\u009b31m\tb"} {
		var published []quarantine.Suspicion
		k := quarantine.NewKeeper(quarantine.Config{
			Limits: quarantine.DefaultLimits, Now: func() time.Duration { return 0 }, Metrics: metrics.NewRegistry(),
			Log:     slog.New(slog.DiscardHandler),
			Publish: func(all []quarantine.Suspicion) { published = append(published, all...) },
		})
		k.UpstreamCrashed(quarantine.Attempt{RequestID: id, Incarnation: quarantine.Incarnation{Upstream: "u"}, Service: "s"})
		require.Len(t, published, 1, "%q", id)
		data, err := Encode(0, false, &Suspicions{All: published})
		require.NoError(t, err)
		_, m, err := Decode(data)
		require.NoError(t, err, "%q", id)
		require.Equal(t, &Suspicions{All: published}, m)
		require.NotRegexp(t, `\p{Cc}`, published[0].Request, "operators read it on a terminal")
	}
}
