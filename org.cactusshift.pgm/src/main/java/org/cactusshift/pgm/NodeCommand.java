package org.cactusshift.pgm;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.node.NodeMain;

/** Runs a node until the process is signalled. */
public final class NodeCommand implements Command {
    @Override
    public String name() {
        return "node";
    }

    @Override
    public String summary() {
        return "runs a node in the foreground until SIGTERM or SIGINT";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .desc("the settings file of the node, in JSON")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException {
        return NodeMain.run(Path.of(CommonOptions.requiredValue(line, "settings")));
    }
}
