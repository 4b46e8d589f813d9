package heads

import "bufio"

// Await waits until a complete head is in the buffer of r, and checks it. It reads nothing from the buffer, which must
// have room for the head, and returns an *Error if the head is not sound.
func Await(r *bufio.Reader) (Progress, error) { return await(r, Progress{}) }

// AwaitTrailer is Await for the trailer after the last chunk of a body.
func AwaitTrailer(r *bufio.Reader) (Progress, error) { return await(r, StartOfTrailer()) }

func await(r *bufio.Reader, p Progress) (Progress, error) {
	for {
		received, _ := r.Peek(r.Buffered())
		var err error
		if p, err = Scan(received, p); err != nil || p.Complete() {
			return p, err
		}
		if _, err := r.Peek(len(received) + 1); err != nil {
			return p, err
		}
	}
}
