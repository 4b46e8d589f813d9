package confjs

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/wire/jtree"
)

const allFields = `{"version": 7, "services": {"catalogue": {
	"keyed": {"key": {"header": "x-line"}, "shards": 32},
	"repeatable": ["GET"], "target": {"checks_epoch": true, "shed_is_not_run": true, "slots": 9, "connections": 70},
	"queue": {"length": 5, "wait_ms": 100}, "body_bytes": 10, "deadline_ms": 900, "drain_ms": 800, "warm_up_ms": 700,
	"retry": {"attempts": 2, "percent": 3}, "hot": {"percent": 4, "keys": 6},
	"weights": {"unavailable": 0.5, "churn": 2, "imbalance": 0}}}}`

func TestDecodeAllFields(t *testing.T) {
	is := is.New(t)
	r, err := Decode("f", []byte(allFields))
	is.NoErr(err)
	is.Equal(r.Version(), uint64(7))
	s, ok := r.Service("catalogue")
	is.True(ok)
	is.Equal(s, rules.NewService("catalogue",
		rules.WithKind(rules.NewKeyed(rules.NewHeader("X-Line"), 32)), rules.WithRepeatable("GET"),
		rules.WithFencing(rules.Checked{}), rules.WithShedding(rules.ShedNotRun{}),
		rules.WithSlots(9), rules.WithConnections(70), rules.WithQueue(5, 100*clock.Millisecond),
		rules.WithMaxBodyBytes(10), rules.WithDeadline(900), rules.WithDrain(800), rules.WithWarmUp(700),
		rules.WithRetry(2, 3), rules.WithHotKeys(4, 6), rules.WithWeights(rules.NewWeights(0.5, 2, 0))))
}

func TestDecodeDefaults(t *testing.T) {
	is := is.New(t)
	r, err := Decode("f", []byte(`{"version": 1, "services": {"a": {"pooled": {}}}}`))
	is.NoErr(err)
	s, _ := r.Service("a")
	is.Equal(s, rules.NewService("a"))
}

func TestDecodeRejectsReservedName(t *testing.T) {
	is := is.New(t)
	_, err := Decode("f", []byte(`{"version": 1, "services": {"verbena": {"pooled": {}}}}`))
	is.True(err != nil)
	is.Equal(err.Error(), "f:1: services.verbena: is reserved: targets take the system's own requests below this path")
}

func TestDecodeReportsAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := Decode("f", []byte(`{"extra": 1,
		"services": {"Bad": {}, "a": {}, "b": {"pooled": {}, "keyed": {"key": {}},
		"target": {"slots": 500, "checks_epoch": 1}, "queue": {"wait_ms": 9000}, "repeatable": ["get"]}}}`))
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(strings.Split(err.Error(), "\n"), []string{
		"f:1: extra: is not a known field; known here: version, services",
		"f:1: version: is missing; one file must set it, and each change must raise it",
		"f:2: services.Bad: is no service name: at most 63 lower-case letters, digits and hyphens, first a letter",
		"f:2: services.a: must have keyed or pooled",
		"f:2: services.b.pooled: stands beside keyed; set one to null",
		"f:2: services.b.keyed.key: must have either path_segment or header",
		`f:3: services.b.repeatable.0: must be one of [GET HEAD OPTIONS POST PUT PATCH DELETE], is "get"`,
		"f:3: services.b.queue.wait_ms: must be at most deadline_ms, which is 5000; is 9000",
		"f:3: services.b.target.connections: must be at least slots, which is 500; is 130",
		"f:3: services.b.target.checks_epoch: must be true or false, is a number",
	})
}

func TestDecodeRejectsInvalidValues(t *testing.T) {
	for _, c := range []struct{ old, replacement, want string }{
		{`"version": 7`, `"version": 0`, "version: must be a whole number from 1"},
		{`"version": 7`, `"version": 1.5`, "version: must be a whole number from 1"},
		{`"slots": 9`, `"slots": 0`, "target.slots: must be a whole number from 1 to 10000, is 0"},
		{`"shards": 32`, `"shards": 4097`, "keyed.shards: must be a whole number from 1 to 4096"},
		{`"x-line"`, `"x line"`, `keyed.key.header: "x line" is no header name`},
		{`"x-line"`, `"verbena-key"`, "keyed.key.header: Verbena-Key cannot have the key"},
		{`"header": "x-line"`, `"path_segment": 1`, "key.path_segment: must be a whole number from 2 to 16"},
		{`"keyed": {"key": {"header": "x-line"}, "shards": 32}`, `"pooled": {}`, "hot: has no meaning without keyed"},
		{`0.5, "churn": 2`, `0, "churn": 0`, "weights: must have one weight above 0"},
		{`"churn": 2`, `"churn": -1`, "weights.churn: must be from 0 to 1000, is -1"},
		{`["GET"]`, `["GET", "GET"]`, `repeatable.1: "GET" stands twice`},
	} {
		_, err := Decode("f", []byte(strings.Replace(allFields, c.old, c.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want %q", err, c.want)
		}
	}
}

func TestEncodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := func(lower, upper int) int { return rapid.IntRange(lower, upper).Draw(t, "n") }
		kind := rapid.SampledFrom([]rules.Kind{
			rules.Pooled{}, rules.NewKeyed(rules.NewPathSegment(3), 8), rules.NewKeyed(rules.NewHeader("X-Rug"), 9),
		}).Draw(t, "kind")
		opts := []rules.Option{
			rules.WithKind(kind), rules.WithSlots(n(1, 70)), rules.WithConnections(n(70, 100)),
			rules.WithQueue(n(0, 9), clock.Millis(n(0, 10))), rules.WithDeadline(clock.Millis(n(10, 99))),
			rules.WithMaxBodyBytes(int64(n(0, 1<<40))), rules.WithDrain(clock.Millis(n(0, 9))), rules.WithRetry(n(1, 10), n(0, 100)),
			rules.WithWeights(rules.NewWeights(1, rapid.Float64Range(0, 1000).Draw(t, "churn"), 0)),
		}
		want := rules.NewService("a", opts...)
		r, err := Decode("f", Encode(rules.New(9, "", want)))
		if err != nil {
			t.Fatal(err)
		}
		got, _ := r.Service("a")
		if string(Encode(rules.New(9, "", got))) != string(Encode(rules.New(9, "", want))) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if r.Digest() != jtree.Digest(Encode(r)) {
			t.Fatal("digest is not that of the encoding")
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(allFields))
	f.Add([]byte(`{"version": 1, "services": {"a": {"keyed": {"key": {"path_segment": 2}}, "weights": {"churn": 1e-9}}}}`))
	f.Add([]byte(`{"version": null, "services": {"a": null, "b": []}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		r, err := Decode("f", content)
		if err != nil {
			return
		}
		again, err := Decode("f", Encode(r))
		if err != nil || string(Encode(again)) != string(Encode(r)) {
			t.Errorf("%s changes to %s when decoded again (error %v)", Encode(r), Encode(again), err)
		}
	})
}
