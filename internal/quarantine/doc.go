// Package quarantine finds what backend servers end under, prompt parts and requests that
// are repeated, and stops the requests concerned.
//
// Each router reports the end of a backend server together with the subjects of its own
// requests that the server held: their prompt parts and the requests themselves. The
// directory's processes put the reports together in a Tracker. A subject that recurs at the
// ends of several servers, and with which no request has succeeded since, is quarantined by
// a replicated command. Routers refuse its requests until the quarantine is lifted.
//
// Sound requests share parts with those that end servers, and are held by servers that end
// under others. So a subject stays a suspect only while nothing speaks for it: routers are
// told the suspects and answer with those with which a request has succeeded.
//
// A quarantine is tested after a time that grows with each failed test: one router may send
// one request. If it succeeds, the quarantine is lifted; if the server ends, it stays.
//
// Limits: a server counts as ended if it refuses connections after its responses broke
// off. One that restarts within that moment, or that falls silent, is not counted. The
// last part of a prompt belongs to a single request and is never a suspect; the request is.
// A sound request that was held at every end, and with which none has succeeded since,
// cannot be told from the one that caused them, and is refused until the first test.
package quarantine
