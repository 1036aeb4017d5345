package standin

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// DoneLine is the last event of every complete stream.
const DoneLine = "data: [DONE]\n\n"

// Request holds the parts of a request that determine its response.
type Request struct {
	Workspace string
	Method    string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Hash returns a hash of all fields of the request, in hex.
func (r Request) Hash() string {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(r.Workspace), []byte(r.Method), []byte(r.Target), r.Body} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = d.Write(n[:])
		_, _ = d.Write(part)
	}
	return hex.EncodeToString(d.Sum(nil))
}

// ModelBody is the part of a model call's body that the stand-in reads.
type ModelBody struct {
	Model     string    `json:"model,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	Chat      string    `json:"chat,omitempty"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the contents of all messages, joined in order. The engine
// splits it into cache blocks.
func (b ModelBody) Prompt() []byte {
	var p []byte
	for _, m := range b.Messages {
		p = append(p, m.Content...)
	}
	return p
}

// defaultMaxTokens is the length of a response in tokens if the request does not set max_tokens.
const defaultMaxTokens = 16

// ResponseChunks returns the correct response to a request: the events of a
// stream, or a single chunk with a JSON document.
func ResponseChunks(r Request) [][]byte {
	key := r.Hash()
	var b ModelBody
	if json.Unmarshal(r.Body, &b) != nil || b.Messages == nil {
		return [][]byte{plainResponse(r, key)}
	}
	n := b.MaxTokens
	if n <= 0 {
		n = defaultMaxTokens
	}
	chunks := make([][]byte, 0, n+1)
	for i := range n {
		chunks = append(chunks, fmt.Appendf(nil, "data: {\"for\":%q,\"i\":%d,\"token\":%q}\n\n", key, i, pseudoWord(key, i)))
	}
	if b.Stream {
		return append(chunks, []byte(DoneLine))
	}
	return [][]byte{fmt.Appendf(nil, "{\"for\":%q,\"tokens\":%d,\"text\":%q}\n", key, n, pseudoWord(key, n))}
}

// ResponseBytes returns the correct response to a request as one slice.
func ResponseBytes(r Request) []byte {
	var out []byte
	for _, c := range ResponseChunks(r) {
		out = append(out, c...)
	}
	return out
}

func plainResponse(r Request, key string) []byte {
	return fmt.Appendf(nil, "{\"for\":%q,\"workspace\":%q,\"target\":%q,\"result\":%q}\n", key, r.Workspace, r.Target, pseudoWord(key, 0))
}

func pseudoWord(key string, i int) string {
	return strconv.FormatUint(xxhash.Sum64String(key+"/"+strconv.Itoa(i))%(36*36*36*36*36), 36)
}
