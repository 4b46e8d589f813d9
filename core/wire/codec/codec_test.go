package codec

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// rulesOf returns rules with the digest of content. Their version is its length in bytes.
func rulesOf(content []byte) rules.Rules {
	sum := sha256.Sum256(content)
	kind := rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 4))
	return rules.New(uint64(len(content)), hex.EncodeToString(sum[:]), rules.NewService("s", kind)).WithContent(content)
}

func newCodec() *Codec {
	return New(WithRules(func(content []byte) (rules.Rules, error) {
		if len(content) == 0 {
			return rules.Rules{}, errors.New("empty")
		}
		return rulesOf(content), nil
	}))
}

func commands() []logcmd.Command {
	m := table.NewMember(7, "i", "z", "a", "s", table.Warming{})
	return []logcmd.Command{
		logcmd.NewSetRules(rulesOf([]byte("content")), "i", "f"),
		logcmd.NewJoin(m),
		logcmd.NewSetPhase(7, table.Serving{}),
		logcmd.NewGrant("s", 0, 0, 7),
		logcmd.NewGrant("s", 1, 0, 7),
		logcmd.NewJoin(table.NewMember(8, "j", "z", "b", "s", table.Warming{})),
		logcmd.NewMove("s", 0, 1, 8),
		logcmd.NewRelease("s", 0, 1),
		logcmd.NewMove("s", 1, 1, 8),
		logcmd.NewAddOverride("s", "k"),
		logcmd.NewRemoveOverride("s", "k"),
		logcmd.NewExpire(7, logcmd.LeaseExpired),
		logcmd.NewJoin(table.NewMember(9, "k", "z", "c", "s", table.Warming{}).WithTargetStartTime(50)),
		logcmd.NewSetPhase(9, table.Leaving{}).WithTargetLeft(true),
		logcmd.NewAddOverride("s", "l"),
		logcmd.NewSetZoneDrain("z", true, "i", 3),
		logcmd.NewSetZoneDrain("y", true, "i", 4),
		logcmd.NewSetZoneDrain("z", false, "j", 17),
	}
}

// TestSnapshotWithoutZones restores a snapshot of a release that had no drained zones.
func TestSnapshotWithoutZones(t *testing.T) {
	is := is.New(t)
	f, _ := apply.Apply(fleet.New(), 1, 42, logcmd.NewJoin(table.NewMember(7, "i", "z", "a", "s", table.Warming{})))
	m := EncodeStateMessage(f, true)
	m.Zones = nil
	got, err := newCodec().DecodeStateMessage(m)
	is.NoErr(err)
	is.Equal(got.Zones(), []fleet.Zone{fleet.NewZone("z", 0)})
	is.Equal(len(got.Table().DrainedZones()), 0)
}

func TestCommandsRoundTrip(t *testing.T) {
	is := is.New(t)
	c := newCodec()
	for _, want := range commands() {
		data, err := EncodeCommand(want, 42)
		is.NoErr(err)
		got, timestamp, err := c.DecodeCommand(data)
		is.NoErr(err)
		is.Equal(timestamp, logcmd.Timestamp(42))
		is.Equal(got, want)
	}
}

// fleetState returns the replicated state after all commands.
func fleetState() *fleet.State {
	f := fleet.New()
	for n, c := range commands() {
		f, _ = apply.Apply(f, uint64(n+1), 42, c)
	}
	return f
}

func TestStateRoundTripsThroughSnapshot(t *testing.T) {
	is := is.New(t)
	want := fleetState()
	data, err := EncodeState(want)
	is.NoErr(err)
	got, err := newCodec().DecodeState(data)
	is.NoErr(err)
	is.Equal(got.Index(), want.Index())
	is.Equal(got.Table().Version(), want.Table().Version())
	is.Equal(got.Table().Changes(), want.Table().Changes())
	is.Equal(got.Audit(), want.Audit())
	is.Equal(got.Origin(), want.Origin())
	is.Equal(got.NextOverride(), want.NextOverride())
	is.Equal(got.Zones(), want.Zones())
	is.Equal(got.Table().DrainedZones(), []string{"y"})
}

// TestRestoredReplicaStaysConsistent restores the state from a snapshot before each command. A
// replica that misses a part of the state in the snapshot would end up with another table or
// other audit records than one that applied the whole log.
func TestRestoredReplicaStaysConsistent(t *testing.T) {
	is := is.New(t)
	want, c := fleetState(), newCodec()
	f := fleet.New()
	for n, d := range commands() {
		data, err := EncodeState(f)
		is.NoErr(err)
		f, err = c.DecodeState(data)
		is.NoErr(err)
		f, _ = apply.Apply(f, uint64(n+1), 42, d)
	}
	is.Equal(f.Table().Changes(), want.Table().Changes())
	is.Equal(f.Audit(), want.Audit())
}

func TestDecodeRulesRejectsDigestMismatch(t *testing.T) {
	is := is.New(t)
	m := EncodeRules(rulesOf([]byte("content")))
	m.Content = []byte("CONTENT")
	_, err := newCodec().DecodeRules(m)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind(), Mismatch)
}

func TestDecodeReport(t *testing.T) {
	is := is.New(t)
	releases := []logcmd.Release{logcmd.NewRelease("s", 3, 4)}
	r := load.NewReport([]load.Shard{load.NewShard(3, 10, 20)}, []load.Key{load.NewKey("k", 5)})
	want := leader.NewRenewRequested(9, 7, 11, 12, releases, r)
	m := &wirepb.Report{Report: &wirepb.Report_Renew{Renew: &wirepb.Renew{
		Incarnation: 7, Sequence: 11, TableVersion: 12,
		Releases: []*wirepb.Release{{Service: "s", Shard: 3, Epoch: 4}},
		Loads:    []*wirepb.ShardLoad{{Shard: 3, Requests: 10, BusyMs: 20}},
		Hot:      []*wirepb.KeyLoad{{Key: "k", Requests: 5}},
	}}}
	got, err := DecodeReport(9, m)
	is.NoErr(err)
	is.Equal(got, want)
}

// FuzzDecode passes corrupt input to all decoders. They may return an error but must not panic,
// and a command that they accept must encode to the same command again.
func FuzzDecode(f *testing.F) {
	for _, c := range commands() {
		data, _ := EncodeCommand(c, 1)
		f.Add(data)
	}
	snapshot, _ := EncodeState(fleetState())
	f.Add(snapshot)
	f.Add([]byte{0xff, 0x01})
	c := newCodec()
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, timestamp, err := c.DecodeCommand(data); err == nil {
			again, err := EncodeCommand(d, timestamp)
			if err != nil {
				t.Fatal(err)
			}
			if same, _, err := c.DecodeCommand(again); err != nil || !sameEncoding(d, same) {
				t.Fatalf("%v decodes as %v after encoding (error %v)", d, same, err)
			}
		}
		_, _ = c.DecodeState(data)
		var r wirepb.Report
		if proto.Unmarshal(data, &r) == nil {
			_, _ = DecodeReport(1, &r)
		}
		var o wirepb.Order
		if proto.Unmarshal(data, &o) == nil {
			_, _ = c.DecodeOrder(&o)
		}
	})
}

func sameEncoding(a, b logcmd.Command) bool {
	x, errA := EncodeCommand(a, 1)
	y, errB := EncodeCommand(b, 1)
	return errA == nil && errB == nil && string(x) == string(y)
}
