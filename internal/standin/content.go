package standin

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// DoneLine ends every stream.
const DoneLine = "data: [DONE]\n\n"

// Request is what an answer depends on.
type Request struct {
	Workspace string
	Method    string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Key returns the hash by which requests differ, in hex.
func (r Request) Key() string {
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

// Prompt joins the messages as the engine sees them.
func (b ModelBody) Prompt() []byte {
	var p []byte
	for _, m := range b.Messages {
		p = append(p, m.Content...)
	}
	return p
}

// defaultTokens is the length of an answer if the call names none.
const defaultTokens = 16

// Answer returns the right answer to a request: the chunks of a stream, or one
// chunk with a JSON document.
func Answer(r Request) [][]byte {
	key := r.Key()
	var b ModelBody
	if json.Unmarshal(r.Body, &b) != nil || b.Messages == nil {
		return [][]byte{plainAnswer(r, key)}
	}
	n := b.MaxTokens
	if n <= 0 {
		n = defaultTokens
	}
	chunks := make([][]byte, 0, n+1)
	for i := range n {
		chunks = append(chunks, fmt.Appendf(nil, "data: {\"for\":%q,\"i\":%d,\"token\":%q}\n\n", key, i, word(key, i)))
	}
	if b.Stream {
		return append(chunks, []byte(DoneLine))
	}
	return [][]byte{fmt.Appendf(nil, "{\"for\":%q,\"tokens\":%d,\"text\":%q}\n", key, n, word(key, n))}
}

// AnswerBytes returns the right answer as one slice.
func AnswerBytes(r Request) []byte {
	var out []byte
	for _, c := range Answer(r) {
		out = append(out, c...)
	}
	return out
}

func plainAnswer(r Request, key string) []byte {
	return fmt.Appendf(nil, "{\"for\":%q,\"workspace\":%q,\"target\":%q,\"result\":%q}\n", key, r.Workspace, r.Target, word(key, 0))
}

func word(key string, i int) string {
	return strconv.FormatUint(xxhash.Sum64String(key+"/"+strconv.Itoa(i))%(36*36*36*36*36), 36)
}
