// Package trial measures control replicas with stand-in daemons at several
// sizes.
package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/confjs"
	"verbenabank/verbenad/adapt/link"
	"verbenabank/verbenad/adapt/auth"
	"verbenabank/vscale/adapt/tally"
	"verbenabank/vscale/command/group"
	"verbenabank/vscale/command/stand"
	"verbenabank/vscale/state/figure"
)

// service is the one that all stand-ins serve.
const service = "stock"

// Load reports of a stand-in: shards and hot keys in each.
const (
	reportShards = 9
	reportKeys   = 8
)

// within bounds every wait for the fleet to come to a state.
const within = 20 * time.Second

// Trial is one group with a growing count of stand-ins. It is for one goroutine
// only.
type Trial struct {
	group    *group.Group
	clock    *clock.Clock
	codec    *codec.Codec
	log      *logrus.Entry
	quietLog *logrus.Entry
	client   *link.Client
	dial     []grpc.DialOption
	tally    *tally.Tally
	shards   int

	version uint64
	stands  []*stand.Stand
	ends    []func()
	points  []figure.Point
}

// New returns a trial on a group whose service has so many shards. The clean-up
// function ends the stand-ins.
func New(g *group.Group, shards int, log, stands *logrus.Entry) (*Trial, func(), error) {
	t := &Trial{group: g, clock: clock.New(), log: log, quietLog: stands, tally: &tally.Tally{}, shards: shards}
	t.codec = codec.New(codec.WithRules(func(content []byte) (rules.Rules, error) { return confjs.Decode("rules", content) }))
	trusted, err := auth.New(g.Settings())
	if err != nil {
		return nil, nil, fail("trust", NotReady, err)
	}
	t.dial = append(trusted.DialOptions(), grpc.WithContextDialer(t.tally.Dial))
	t.client = link.NewClient(link.NewAddresses(g.Addresses()...), trusted.DialOptions(), t.codec)
	if _, err := t.offer(); err != nil {
		t.close()
		return nil, nil, err
	}
	return t, t.close, nil
}

func (t *Trial) close() {
	for _, end := range t.ends {
		end()
	}
}

// Points returns what was measured so far.
func (t *Trial) Points() []figure.Point { return t.points }

func (t *Trial) note(name string, value float64) {
	t.points = append(t.points, figure.NewPoint(name, float64(len(t.stands)), value))
}

// Grow starts stand-ins until there are count and waits until all have leases
// and nothing changes any more.
func (t *Trial) Grow(count int) error {
	begin := t.clock.Now()
	added := count - len(t.stands)
	for i := len(t.stands); i < count; i++ {
		s, end := stand.New(
			stand.WithInstance(fmt.Sprintf("stand-in-%04d", i), fmt.Sprintf("zone-%d", i%3+1), fmt.Sprintf("127.40.%d.%d:8090", i/200+1, i%200+1), service),
			stand.WithReplicas(t.group.Addresses(), t.dial...), stand.WithCodec(t.codec),
			stand.WithLog(t.quietLog), stand.WithReport(reportShards, reportKeys))
		t.stands, t.ends = append(t.stands, s), append(t.ends, end)
	}
	joined, err := t.last(func(ctx context.Context, s *stand.Stand) (clock.Millis, error) { return s.Leased(ctx, begin) })
	if err != nil {
		return err
	}
	granted, err := t.last(func(ctx context.Context, s *stand.Stand) (clock.Millis, error) { return s.Granted(ctx, t.shards) })
	if err != nil {
		return err
	}
	if added > 0 {
		t.note("join: ms until all have leases, for each that joined", float64(joined.Sub(begin))/float64(added))
	}
	t.log.Infof("trial: %d stand-ins, %d shards: leases after %d ms, shards after %d ms",
		count, t.shards, joined.Sub(begin), granted.Sub(begin))
	return t.quiet()
}

// quiet waits until no command was committed for a while.
func (t *Trial) quiet() error {
	const look, still = 250 * time.Millisecond, 4
	l, err := t.group.Leader()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	last, same := -1.0, 0
	for end := time.Now().Add(within); time.Now().Before(end) && same < still; <-ticker.C {
		v, err := l.Vars()
		if err != nil {
			return err
		}
		same++
		if v.Commit() != last {
			last, same = v.Commit(), 0
		}
	}
	if same < still {
		t.log.Warn("trial: commands are still committed, the figures include them")
	}
	return nil
}

// last waits for all stand-ins together and returns the latest instant.
func (t *Trial) last(wait func(context.Context, *stand.Stand) (clock.Millis, error)) (clock.Millis, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	latest := clock.Millis(0)
	for _, s := range t.stands {
		at, err := wait(ctx, s)
		if err != nil {
			return 0, err
		}
		latest = max(latest, at)
	}
	return latest, nil
}
