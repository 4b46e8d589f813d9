package cost

import "math/bits"

// Class is what is known of the cost of a request at its arrival.
type Class struct {
	service string
	route   string
	method  string
	size    int8
}

// NewClass returns the class of a request by its service, route and method, and the length of its body in bytes, -1
// if it is not known. Methods that are not usual ones count as one, since callers can make up any number of them.
func NewClass(service, route, method string, length int64) Class {
	return Class{service: service, route: route, method: usualMethod(method), size: sizeClass(length)}
}

// usualMethod returns the method if it is a usual one of HTTP, else "".
func usualMethod(method string) string {
	switch method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
		return method
	}
	return ""
}

const (
	// unknownSize is the size class of a body of unknown length.
	unknownSize = -1
	// Bodies up to 1 << smallBits bytes are of one size class; from there on each spans a factor of 1 << sizeBits.
	smallBits = 10
	sizeBits  = 2
	// maxSize is the size class of the largest bodies.
	maxSize = 7
)

func sizeClass(length int64) int8 {
	switch {
	case length < 0:
		return unknownSize
	case length == 0:
		return 0
	}
	steps := max(0, bits.Len64(uint64(length-1))-smallBits)
	return int8(min(1+(steps+sizeBits-1)/sizeBits, maxSize))
}
