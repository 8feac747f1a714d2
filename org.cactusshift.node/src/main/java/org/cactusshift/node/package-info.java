/** The node daemon, which runs on every instance that receives callers' requests. */
package org.cactusshift.node;
