package confjs

import (
	"fmt"
	"testing"

	"verbenabank/core/state/rules"
)

// BenchmarkDecode decodes configurations of several sizes in which all fields are set.
func BenchmarkDecode(b *testing.B) {
	for _, count := range []int{6, 100, MaxServices} {
		services := make([]rules.Service, 0, count)
		for i := range count {
			kind := rules.NewKeyed(rules.NewPathSegment(MinSegment), rules.DefaultShards)
			services = append(services, rules.NewService(fmt.Sprintf("service-%d", i), rules.WithKind(kind)))
		}
		content := Encode(rules.New(1, "", services...))
		b.Run(fmt.Sprintf("services=%d", count), func(b *testing.B) {
			b.SetBytes(int64(len(content)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode("f", content); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
