/** The node daemon, which every entry instance runs. */
package org.cactusshift.node;
