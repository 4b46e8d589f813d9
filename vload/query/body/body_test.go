package body

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/vload/state/call"
)

func TestCheck(t *testing.T) {
	is := is.New(t)
	r := call.NewRequest("17", "bookings", "tent", "POST", 40, 100, 0)
	sum, text := Checksum(Generate("17", 40)), Generate("17", 100)
	is.Equal(Check(r, "17", "tent", sum, text), call.Intact{})
	is.Equal(Check(r, "18", "tent", sum, text), call.Crossed{})
	is.Equal(Check(r, "17", "lamp", sum, text), call.Crossed{})
	is.Equal(Check(r, "17", "tent", sum, Generate("18", 100)), call.Crossed{})
	is.Equal(Check(r, "17", "tent", sum, text[:99]), call.Truncated{})
	is.Equal(Check(r, "17", "tent", Checksum(Generate("17", 39)), text), call.Truncated{})
}
