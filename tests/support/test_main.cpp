#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

// Runs every registered CppUnit test, or those below the test path given as
// the only argument.
int main(int argc, char** argv)
{
    CppUnit::TestResult events;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&collector);
    events.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::string const path = argc > 1 ? argv[1] : "";
    runner.run(events, path);

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    return collector.wasSuccessful() ? 0 : 1;
}
