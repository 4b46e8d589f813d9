package client

import (
	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/wire/heads"
)

// control sends the requests that are not part of the load.
var control = fasthttp.Client{Dial: heads.Dial}

// Do sends a request that is not part of the load, such as one for the state of a process, and receives the response. It
// fails for a response with a broken head. It is safe for concurrent use.
func Do(request *fasthttp.Request, response *fasthttp.Response, timeout clock.Millis) error {
	return control.DoTimeout(request, response, timeout.Duration())
}
