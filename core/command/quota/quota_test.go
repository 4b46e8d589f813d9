package quota_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/command/quota"
)

const limit = 32 << 20

func takeAll(b *quota.Budget, s *quota.Share, n int64) int64 {
	for {
		switch b.Take(s, n).(type) {
		case quota.Granted:
			continue
		case quota.Refused:
			return s.Held()
		}
	}
}

// TestOneHolderLeavesRoom guards against a connection that takes the whole budget, so that others are refused.
func TestOneHolderLeavesRoom(t *testing.T) {
	is := is.New(t)
	b, greedy, other := quota.New(limit), &quota.Share{}, &quota.Share{}
	is.True(takeAll(b, greedy, quota.SmallBytes) <= limit/2)
	is.Equal(b.Take(other, limit/8), quota.Verdict(quota.Granted{}))
}

// TestCrowdLeavesTheReserve guards against many holders of large amounts that leave nothing for an ordinary request.
func TestCrowdLeavesTheReserve(t *testing.T) {
	is := is.New(t)
	b, ordinary := quota.New(limit), &quota.Share{}
	for range 1000 {
		takeAll(b, &quota.Share{}, 2*quota.SmallBytes)
	}
	is.True(b.Held() <= limit*3/4)
	is.True(b.Held() > limit*3/4-3*quota.SmallBytes)
	is.Equal(b.Take(ordinary, quota.SmallBytes), quota.Verdict(quota.Granted{}))
	b.Give(ordinary, quota.SmallBytes)
	is.Equal(ordinary.Held(), int64(0))
}

// TestBudgetIsNotExceeded guards against amounts that add up to more than the budget. What is held already is refused to
// later holders, also if it had to be taken beyond the budget.
func TestBudgetIsNotExceeded(t *testing.T) {
	is := is.New(t)
	b := quota.New(limit)
	for range 5000 {
		takeAll(b, &quota.Share{}, 12<<10)
	}
	is.True(b.Held() <= limit)
	b.Force(&quota.Share{}, limit)
	is.Equal(b.Take(&quota.Share{}, 1), quota.Verdict(quota.Refused{}))
}
