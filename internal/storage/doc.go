// Package storage keeps the log and the snapshots of a replication group's member in a
// data folder, which holds nothing else.
//
//	identity               format version, disk id, node id
//	LOCK                   held while a process uses the folder
//	log-<sequence>         log records; a new file begins after every start and snapshot
//	snapshot-<index>       a snapshot, written under a temporary name and then renamed
//
// Every append writes one checksummed record (a protobuf LogBatch in pebble's record
// format) and syncs the file once. The name of a file is durable before its first
// record. Open syncs what it reads, because a killed process may have left writes that
// only the page cache holds. Records are numbered consecutively, so a valid record proves
// that the record before it was synced. A damaged record that no valid record follows is
// a torn tail and is discarded. Any other damage, or a gap in the numbers, makes Open
// fail with kind damaged-storage. A record or snapshot for which the disk has no room is
// refused with kind disk-full and can be written again: what there is of it becomes a torn
// tail or is removed. After a failed sync, or any other failure, the Store refuses all further
// use, since the content of the disk is then unknown.
//
// Limits: data that a failed sync dropped from the disk can still be read until the page
// cache is emptied, and Open cannot tell. Damage to the last synced record is
// indistinguishable from a torn tail; the other voters detect that the disk holds less
// than it acknowledged. A received snapshot may be as large as the state, and two
// snapshots exist while one is written.
package storage
