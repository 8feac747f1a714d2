/** State layer: snapshots and sharded tables, each shard under its own lock. */
package org.cactusshift.internal.state;
