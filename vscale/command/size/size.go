// Package size measures the state itself, without processes: its memory, its
// encoding and the cost of a change.
package size

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
	"verbenabank/vscale/state/figure"
)

const service = "stock"

// rounds is how many single changes are timed together.
const rounds = 40

// Measure returns points for tables of so many shards, members and overrides and
// for audit trails of so many records.
func Measure(shards, members, overrides, records []int) ([]figure.Point, error) {
	var points []figure.Point
	for _, n := range shards {
		p, err := tables("shards", n, holdings)
		if err != nil {
			return nil, err
		}
		points = append(points, p...)
	}
	for _, n := range members {
		p, err := tables("members", n, daemons)
		if err != nil {
			return nil, err
		}
		points = append(points, p...)
	}
	for _, n := range overrides {
		p, err := tables("overrides", n, keys)
		if err != nil {
			return nil, err
		}
		points = append(points, p...)
	}
	for _, n := range records {
		points = append(points, trail(n)...)
	}
	return points, nil
}

func holdings(count int) []table.Change {
	list := make([]table.Change, 0, count)
	for i := range count {
		owner := table.Incarnation(1<<63 + uint64(i%7200))
		list = append(list, table.NewOwnershipSet(service, table.Shard(i), table.NewOwned(owner, 7)))
	}
	return list
}

func daemons(count int) []table.Change {
	list := make([]table.Change, 0, count)
	for i := range count {
		m := table.NewMember(table.Incarnation(1<<63+uint64(i)), fmt.Sprintf("catalogue-%d", i), fmt.Sprintf("zone-%d", i%18),
			fmt.Sprintf("10.%d.%d.%d:8090", i>>16, i>>8&255, i&255), service, table.Serving{})
		list = append(list, table.NewMemberSet(m))
	}
	return list
}

func keys(count int) []table.Change {
	list := make([]table.Change, 0, 2*count)
	for i := range count {
		alone := table.FirstOverride + table.Shard(i)
		list = append(list, table.NewOverrideSet(service, fmt.Sprintf("festoon-light-%06d", i), alone),
			table.NewOwnershipSet(service, alone, table.NewOwned(table.Incarnation(1<<63+uint64(i)), 3)))
	}
	return list
}

// tables measures the table that count changes make.
func tables(what string, count int, build func(count int) []table.Change) ([]figure.Point, error) {
	var points []figure.Point
	note := func(name string, value float64) {
		points = append(points, figure.NewPoint(what+": "+name, float64(count), value))
	}
	before := heap()
	changes := build(count)
	begin := time.Now()
	t := table.Empty().With(1, changes...)
	note("ms to build a table", millis(time.Since(begin)))
	note("bytes of memory of a table", heap()-before)
	changes = build(count)
	begin = time.Now()
	data, err := proto.Marshal(&wirepb.Update{Full: true, To: 1, Changes: codec.EncodeChanges(t.Changes())})
	if err != nil {
		return nil, fail("encode", err)
	}
	note("ms to encode a full update", millis(time.Since(begin)))
	note("bytes of a full update", float64(len(data)))
	begin = time.Now()
	var m wirepb.Update
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fail("decode", err)
	}
	if _, err := codec.New().DecodeChanges(m.GetChanges()); err != nil {
		return nil, fail("decode", err)
	}
	note("ms to decode a full update", millis(time.Since(begin)))
	begin = time.Now()
	for i := range rounds {
		t = t.With(uint64(i+2), changes[i%len(changes)])
	}
	note("µs of one change", 1000*millis(time.Since(begin))/rounds)
	begin = time.Now()
	data, err = codec.EncodeState(fleet.New(fleet.WithTable(t)))
	if err != nil {
		return nil, fail("encode", err)
	}
	note("ms to encode a snapshot", millis(time.Since(begin)))
	note("bytes of a snapshot", float64(len(data)))
	return points, nil
}

// trail measures the memory of audit records.
func trail(count int) []figure.Point {
	before := heap()
	f := fleet.New()
	for i := range count {
		f = f.With(fleet.WithRecords(fleet.NewRecord(uint64(i), 0, "control", fmt.Sprintf("shard %s/%d", service, i),
			fmt.Sprintf("catalogue-%d", i), fmt.Sprintf("catalogue-%d", i+1), fmt.Sprintf("moved at epoch %d", i))))
	}
	used := heap() - before
	runtime.KeepAlive(f)
	return []figure.Point{figure.NewPoint("audit: bytes of memory of a trail", float64(count), used)}
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
