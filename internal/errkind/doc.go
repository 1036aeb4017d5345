// Package errkind holds the closed list of error kinds and the table from a
// kind to what callers, operators and logs are told.
//
// Every error that leaves a process carries one Kind. The table gives the HTTP
// status, the outcome that the answer states, the advice on retrying, the log
// level and the exit code of kqctl. Between processes a kind travels as the
// numeric code of a drpc error.
package errkind
