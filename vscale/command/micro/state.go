// Package micro measures the replicated state in this process: its memory, its
// encoded size, and the CPU time of changes and decisions.
package micro

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

// changeCount is the number of single changes that are timed together.
const changeCount = 40

// MeasureState measures tables with the given numbers of shards, members and key
// overrides, and audit trails with the given numbers of records.
func MeasureState(shards, members, overrides, records []int) ([]figure.Point, error) {
	var points []figure.Point
	for _, n := range shards {
		p, err := measureTable("shards", n, ownershipChanges)
		if err != nil {
			return nil, err
		}
		points = append(points, p...)
	}
	for _, n := range members {
		p, err := measureTable("members", n, memberChanges)
		if err != nil {
			return nil, err
		}
		points = append(points, p...)
	}
	for _, n := range overrides {
		p, err := measureTable("overrides", n, overrideChanges)
		if err != nil {
			return nil, err
		}
		points = append(points, p...)
	}
	for _, n := range records {
		points = append(points, measureAudit(n)...)
	}
	return points, nil
}

func ownershipChanges(count int) []table.Change {
	list := make([]table.Change, 0, count)
	for i := range count {
		owner := table.Incarnation(1<<63 + uint64(i%7200))
		list = append(list, table.NewOwnershipSet(service, table.Shard(i), table.NewOwned(owner, 7)))
	}
	return list
}

func memberChanges(count int) []table.Change {
	list := make([]table.Change, 0, count)
	for i := range count {
		m := table.NewMember(table.Incarnation(1<<63+uint64(i)), fmt.Sprintf("catalogue-%d", i), fmt.Sprintf("zone-%d", i%18),
			fmt.Sprintf("10.%d.%d.%d:8090", i>>16, i>>8&255, i&255), service, table.Serving{})
		list = append(list, table.NewMemberSet(m))
	}
	return list
}

func overrideChanges(count int) []table.Change {
	list := make([]table.Change, 0, 2*count)
	for i := range count {
		dedicated := table.FirstOverride + table.Shard(i)
		list = append(list, table.NewOverrideSet(service, fmt.Sprintf("festoon-light-%06d", i), dedicated),
			table.NewOwnershipSet(service, dedicated, table.NewOwned(table.Incarnation(1<<63+uint64(i)), 3)))
	}
	return list
}

// measureTable measures a table with count entries that build makes. Its encoded
// forms are a full update for a daemon and a snapshot of the replicated log.
func measureTable(quantity string, count int, build func(count int) []table.Change) ([]figure.Point, error) {
	var points []figure.Point
	record := func(name string, value float64) {
		points = append(points, figure.NewPoint(quantity+": "+name, float64(count), value))
	}
	before := liveHeapBytes()
	changes := build(count)
	begin := time.Now()
	t := table.Empty().With(1, changes...)
	record("ms to build a table", millis(time.Since(begin)))
	record("bytes of memory of a table", liveHeapBytes()-before)
	changes = build(count)
	begin = time.Now()
	data, err := proto.Marshal(&wirepb.Update{Full: true, To: 1, Changes: codec.EncodeChanges(t.Changes())})
	if err != nil {
		return nil, fail("encode", err)
	}
	record("ms to encode a full update", millis(time.Since(begin)))
	record("bytes of a full update", float64(len(data)))
	begin = time.Now()
	var m wirepb.Update
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fail("decode", err)
	}
	if _, err := codec.New().DecodeChanges(m.GetChanges()); err != nil {
		return nil, fail("decode", err)
	}
	record("ms to decode a full update", millis(time.Since(begin)))
	begin = time.Now()
	for i := range changeCount {
		t = t.With(uint64(i+2), changes[i%len(changes)])
	}
	record("µs of one change", 1000*millis(time.Since(begin))/changeCount)
	begin = time.Now()
	data, err = codec.EncodeState(fleet.New(fleet.WithTable(t)))
	if err != nil {
		return nil, fail("encode", err)
	}
	record("ms to encode a snapshot", millis(time.Since(begin)))
	record("bytes of a snapshot", float64(len(data)))
	return points, nil
}

// measureAudit measures the memory of an audit trail with count records.
func measureAudit(count int) []figure.Point {
	before := liveHeapBytes()
	f := fleet.New()
	for i := range count {
		f = f.With(fleet.WithRecords(fleet.NewRecord(uint64(i), 0, "control", fmt.Sprintf("shard %s/%d", service, i),
			fmt.Sprintf("catalogue-%d", i), fmt.Sprintf("catalogue-%d", i+1), fmt.Sprintf("moved at epoch %d", i))))
	}
	used := liveHeapBytes() - before
	runtime.KeepAlive(f)
	return []figure.Point{figure.NewPoint("audit: bytes of memory of a trail", float64(count), used)}
}

// liveHeapBytes returns the size of the live heap objects. It collects twice, since
// objects with finalizers are freed by the second collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
