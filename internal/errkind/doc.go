// Package errkind defines the error kinds and, for each kind, how it is reported to
// callers, operators and logs. The list of kinds is closed.
//
// Every error that leaves a process has exactly one Kind. The table gives the HTTP
// status, the outcome stated in the response, the retry advice, the log level and the
// exit code of kqctl. Between processes, a kind is transmitted as the numeric code of
// a drpc error.
package errkind
