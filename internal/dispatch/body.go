package dispatch

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// initialBodyBytes limits the initial capacity of the buffer for a request body.
const initialBodyBytes = 16 << 10

// readBody reads the whole request body within the route's size limit, the time
// limit for bodies and the memory limit for all bodies together. releaseBody
// releases the memory.
func (d *Dispatcher) readBody(x *exchange, route *resolvedRoute, r *http.Request) (body []byte, err error) {
	if r.ContentLength > route.maxBody {
		return nil, tooLargeError(route)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	_ = x.rc.SetReadDeadline(time.Now().Add(d.limits.BodyTimeout))
	defer func() {
		if err == nil {
			x.bodyRead = true
			_ = x.rc.SetReadDeadline(time.Time{})
		}
	}()
	body = make([]byte, 0, min(max(r.ContentLength, 0)+1, initialBodyBytes))
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		if grown := int64(cap(body)) - x.reservedBytes; grown > 0 {
			x.reservedBytes += grown
			if d.bodyBytes.Add(grown) > d.limits.TotalBodyBytes {
				return nil, errkind.New(errkind.QueueFull, "the request bodies held by this router exceed its memory limit")
			}
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > route.maxBody {
			return nil, tooLargeError(route)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, bodyError(err)
		}
	}
}

// releaseBody drops the request body and releases the memory reserved for it.
func (x *exchange) releaseBody() {
	if x.body != nil {
		x.body.release()
		x.q.body = nil
	}
	x.d.bodyBytes.Add(-x.reservedBytes)
	x.reservedBytes = 0
}

func tooLargeError(route *resolvedRoute) error {
	return errkind.New(errkind.TooLarge, "the request body exceeds the limit of %d bytes", route.maxBody)
}

func bodyError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errkind.Wrap(err, errkind.BadRequest, "the request body did not arrive in time")
	}
	return errkind.Wrap(err, errkind.BadRequest, "the request body is malformed or truncated")
}
