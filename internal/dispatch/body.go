package dispatch

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const bodyStep = 16 << 10

// readBody reads a request's whole body within the route's limit, the time for
// bodies, and the memory for all bodies. releaseBody gives the memory back.
func (d *Dispatcher) readBody(x *exchange, route *treatment, r *http.Request) (body []byte, err error) {
	if r.ContentLength > route.maxBody {
		return nil, tooLarge(route)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	_ = x.rc.SetReadDeadline(time.Now().Add(d.limits.BodyTime))
	defer func() {
		if err == nil {
			x.bodyRead = true
			_ = x.rc.SetReadDeadline(time.Time{})
		}
	}()
	body = make([]byte, 0, min(max(r.ContentLength, 0)+1, bodyStep))
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		if grown := int64(cap(body)) - x.bodyHeld; grown > 0 {
			x.bodyHeld += grown
			if d.bodyBytes.Add(grown) > d.limits.BodyBytes {
				return nil, errkind.New(errkind.QueueFull, "the router holds as many bodies as it may")
			}
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > route.maxBody {
			return nil, tooLarge(route)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, bodyError(err)
		}
	}
}

// releaseBody lets go of the body and gives its memory back.
func (x *exchange) releaseBody() {
	if x.body != nil {
		x.body.release()
		x.q.body = nil
	}
	x.d.bodyBytes.Add(-x.bodyHeld)
	x.bodyHeld = 0
}

func tooLarge(route *treatment) error {
	return errkind.New(errkind.TooLarge, "the body may have at most %d bytes", route.maxBody)
}

func bodyError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errkind.Wrap(err, errkind.BadRequest, "the body did not arrive in time")
	}
	return errkind.Wrap(err, errkind.BadRequest, "the body is broken or cut off")
}
